import {newStoreConcurrencyLimit} from './new-store-concurrency-limit.js';
import type {StoreEstimate} from './store-estimate.js';

/** Creates the initial estimate for a weight store of which no fetch has been observed yet. */
export const newStoreEstimate = (): StoreEstimate => ({
	maxFetches: newStoreConcurrencyLimit().maxFetches, isMeasured: false, slowedAt: undefined, fullSpeedCount: 0, fetches: new Map(),
});
