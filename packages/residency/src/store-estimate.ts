import type {ObservedFetch} from './observed-fetch.js';

/** An estimate of how many fetches the weight store sustains, learned from fetches in progress and from those that ended. */
export type StoreEstimate = {
	/** The number of concurrent fetches that the weight store is estimated to serve at full speed. */
	maxFetches: number;
	/** True once a fetch that ended or is overdue has confirmed or changed the estimate. */
	isMeasured: boolean;
	/** The lowest number of concurrent fetches that slowed each other; undefined if none did, or if as many ran at full speed since. */
	slowedAt: number | undefined;
	/** Fetches that ended at full speed while the limit was reached, since the estimate last changed. */
	fullSpeedCount: number;
	/** The fetches in progress, by upstream id. */
	fetches: ReadonlyMap<string, ObservedFetch>;
};
