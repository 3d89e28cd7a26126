import type {Capacity} from './capacity.js';
import type {EngineModels} from './engine-models.js';

/**
 * The memory of loaded models and adapters, and of unconfirmed loads that may still begin, in megabytes. A loaded model that is no longer
 * in the configuration has an unknown size and counts as the whole memory, so that nothing is loaded beside it.
 */
export const getUsedMemory = (capacity: Capacity, engine: EngineModels): number => {
	let used = 0;
	for (const {name, adapters} of engine.models) {
		const size = capacity.models.get(name);
		used += size ? size.weightMemory + (size.adapterMemory * adapters.length) : capacity.weightMemory;
	}

	const loaded = new Set(engine.models.map(model => model.name));
	for (const {model, adapter} of engine.unconfirmedLoads) {
		const size = capacity.models.get(model);
		const modelMemory = loaded.has(model) ? 0 : size?.weightMemory ?? 0;
		used += adapter === '' ? modelMemory : size?.adapterMemory ?? 0;
	}

	return used;
};
