import type {Capacity} from './capacity.js';
import type {Holdings} from './holdings.js';

/** The expected load time of a model from where the engine keeps its nearest copy, in milliseconds. */
export const getLoadMs = (capacity: Capacity, {copiesInMemory, copiesOnDisk}: Holdings, model: string): number => {
	const size = capacity.models.get(model);
	if (!size) {
		return Number.POSITIVE_INFINITY;
	}

	if (copiesInMemory.includes(model)) {
		return size.memoryLoadMs;
	}

	return copiesOnDisk.includes(model) ? size.diskLoadMs : size.storeLoadMs;
};
