import type {StoreFetch} from './store-fetch.js';

/** A fetch in progress, with the share of the weight store that it had so far. */
export type ObservedFetch = StoreFetch & {
	/** The sum over the elapsed time of one divided by the number of concurrent fetches, relative to the configured load time. */
	readonly storeShare: number;
	/** The highest number of fetches that were in progress at the same time as this one. */
	readonly maxConcurrent: number;
};
