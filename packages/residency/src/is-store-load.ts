import {getLoadMs} from './get-load-ms.js';
import type {Capacity} from './capacity.js';
import type {EngineModels} from './engine-models.js';

/** True if a load of the model would be a fetch from the weight store, or would take at least as long as one. */
export const isStoreLoad = (capacity: Capacity, engine: EngineModels, model: string): boolean =>
	getLoadMs(capacity, engine, model) >= (capacity.models.get(model)?.storeLoadMs ?? Number.POSITIVE_INFINITY);
