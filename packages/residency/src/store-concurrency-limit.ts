import type {StoreFetch} from './store-fetch.js';

type TrackedFetch = StoreFetch & {
	/** The highest number of fetches that were in progress at the same time as this one. */
	readonly maxConcurrent: number;
};

/** The estimated concurrency limit of the weight store. It is learned from the duration of fetches, because no configuration states it. */
export type StoreConcurrencyLimit = {
	/** The number of concurrent fetches that the weight store is estimated to serve at full speed. */
	maxFetches: number;
	/** The fetches in progress, by upstream id. */
	fetches: ReadonlyMap<string, TrackedFetch>;
};
