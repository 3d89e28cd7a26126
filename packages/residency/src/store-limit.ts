import type {StoreFetch} from './store-fetch.js';

type TrackedFetch = StoreFetch & {
	/** The most fetches that were under way at once while this one was. */
	readonly maxConcurrent: number;
};

/** What is known of how many fetches the weight store serves at once without slowing them, which nobody states. */
export type StoreLimit = {
	atOnce: number;
	/** Those under way, by upstream. */
	fetches: ReadonlyMap<string, TrackedFetch>;
};
