import type {StoreLimit} from './store-limit.js';

/** The number of concurrent fetches that are allowed before any fetch has ended. */
const INITIAL_MAX_FETCHES = 4;

/** Creates the initial estimate for a weight store of which no fetch has been observed yet. */
export const newStoreLimit = (): StoreLimit => ({atOnce: INITIAL_MAX_FETCHES, fetches: new Map()});
