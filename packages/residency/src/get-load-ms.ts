import type {Capacity} from './capacity.js';
import type {EngineModels} from './engine-models.js';

/** The expected load time of a model from the fastest source that an engine has, in milliseconds: host memory, disk or the weight store. */
export const getLoadMs = (capacity: Capacity, {copiesInMemory, copiesOnDisk}: EngineModels, model: string): number => {
	const size = capacity.models.get(model);
	if (!size) {
		return Number.POSITIVE_INFINITY;
	}

	if (copiesInMemory.includes(model)) {
		return size.memoryLoadMs;
	}

	return copiesOnDisk.includes(model) ? size.diskLoadMs : size.storeLoadMs;
};
