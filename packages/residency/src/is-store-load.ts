import {getLoadMs} from './get-load-ms.js';
import type {Capacity} from './capacity.js';
import type {Holdings} from './holdings.js';

/** Whether the engine would fetch a model from the weight store, or load it no sooner than from there. */
export const isStoreLoad = (capacity: Capacity, holdings: Holdings, model: string): boolean =>
	getLoadMs(capacity, holdings, model) >= (capacity.models.get(model)?.storeLoadMs ?? Number.POSITIVE_INFINITY);
