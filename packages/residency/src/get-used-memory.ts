import type {Capacity} from './capacity.js';
import type {Holdings} from './holdings.js';

/** Memory that the held models and adapters take, in megabytes. A model that the configuration no longer knows counts as all of it. */
export const getUsedMemory = (capacity: Capacity, holdings: Holdings): number => {
	let used = 0;
	for (const {name, adapters} of holdings.models) {
		const size = capacity.models.get(name);
		used += size ? size.weightMemory + (size.adapterMemory * adapters.length) : capacity.weightMemory;
	}

	return used;
};
