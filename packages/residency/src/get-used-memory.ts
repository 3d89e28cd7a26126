import type {Capacity} from './capacity.js';
import type {Holdings} from './holdings.js';

/** Memory that the held models and adapters take, and those that may come unordered, in megabytes. A model that the configuration no longer knows counts as all of it. */
export const getUsedMemory = (capacity: Capacity, holdings: Holdings): number => {
	let used = 0;
	for (const {name, adapters} of holdings.models) {
		const size = capacity.models.get(name);
		used += size ? size.weightMemory + (size.adapterMemory * adapters.length) : capacity.weightMemory;
	}

	const held = new Set(holdings.models.map(model => model.name));
	for (const {model, adapter} of holdings.lateLoads) {
		const size = capacity.models.get(model);
		const modelMemory = held.has(model) ? 0 : size?.weightMemory ?? 0;
		used += adapter === '' ? modelMemory : size?.adapterMemory ?? 0;
	}

	return used;
};
