import type {StoreConcurrencyLimit} from './store-concurrency-limit.js';

/** The number of concurrent fetches that are allowed before any fetch has ended. */
const INITIAL_MAX_FETCHES = 4;

/** Creates the initial estimate for a weight store of which no fetch has been observed yet. */
export const newStoreConcurrencyLimit = (): StoreConcurrencyLimit => ({maxFetches: INITIAL_MAX_FETCHES, fetches: new Map()});
