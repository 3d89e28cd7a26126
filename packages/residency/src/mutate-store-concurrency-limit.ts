import type {StoreFetch} from './store-fetch.js';
import type {StoreConcurrencyLimit} from './store-concurrency-limit.js';

/** A fetch that exceeds its configured load time by this factor is slowed by other fetches; a busy engine alone takes only slightly longer. */
const SLOWED_PACE = 1.5;

/** A fetch that ended within its configured load time multiplied by this factor ran at full speed. */
const FULL_SPEED_PACE = 1.25;

/** Raises the limit by one for every fetch that ended at full speed while the limit was reached (additive increase). */
const mutateLimitByEndedFetches = (limit: StoreConcurrencyLimit, fetches: ReadonlyMap<string, StoreFetch>): void => {
	for (const [upstreamId, {model, pace, maxConcurrent}] of limit.fetches) {
		const hasEnded = fetches.get(upstreamId)?.model !== model;
		if (hasEnded && pace <= FULL_SPEED_PACE && maxConcurrent >= limit.maxFetches) {
			limit.maxFetches += 1;
		}
	}
};

/**
 * Updates the estimated concurrency limit of the weight store from the fetches in progress. Beyond its limit the store slows all fetches
 * proportionally: if `maxConcurrent` fetches take `pace` times their configured load time, it can serve `maxConcurrent / pace` at full speed.
 * More fetches would not raise the store's throughput but would block their engines for longer, as an engine loads one model at a time.
 */
export const mutateStoreConcurrencyLimit = (limit: StoreConcurrencyLimit, underWay: readonly StoreFetch[]): void => {
	const fetches = new Map(underWay.map(fetch => [fetch.upstreamId, fetch]));
	mutateLimitByEndedFetches(limit, fetches);
	limit.fetches = new Map(underWay.map(fetch => {
		const known = limit.fetches.get(fetch.upstreamId);
		const before = known?.model === fetch.model ? known.maxConcurrent : 0;
		return [fetch.upstreamId, {...fetch, maxConcurrent: Math.max(before, underWay.length)}];
	}));
	for (const {pace, maxConcurrent} of limit.fetches.values()) {
		if (pace >= SLOWED_PACE) {
			limit.maxFetches = Math.min(limit.maxFetches, Math.max(1, Math.floor(maxConcurrent / pace)));
		}
	}
};
