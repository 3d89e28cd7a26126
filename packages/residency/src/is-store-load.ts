import {getLoadMs} from './get-load-ms.js';
import type {Capacity} from './capacity.js';
import type {Holdings} from './holdings.js';

/** True if a load of the model would be a fetch from the weight store, or would take at least as long as one. */
export const isStoreLoad = (capacity: Capacity, engine: Holdings, model: string): boolean =>
	getLoadMs(capacity, engine, model) >= (capacity.models.get(model)?.storeLoadMs ?? Number.POSITIVE_INFINITY);
