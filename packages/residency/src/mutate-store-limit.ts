import type {StoreFetch} from './store-fetch.js';
import type {StoreLimit} from './store-limit.js';

/** A fetch that takes this much of its stated time is slowed by others; busy engines alone take somewhat longer than stated. */
const SLOWED_PACE = 1.5;

/** One that ended within this much of its stated time was not slowed. */
const FULL_SPEED_PACE = 1.25;

/** A store that serves a fetch at once can be asked for one more: additive increase. */
const mutateLimitByEndedFetches = (limit: StoreLimit, fetches: ReadonlyMap<string, StoreFetch>): void => {
	for (const [upstreamId, {model, pace, maxConcurrent}] of limit.fetches) {
		const hasEnded = fetches.get(upstreamId)?.model !== model;
		if (hasEnded && pace <= FULL_SPEED_PACE && maxConcurrent >= limit.atOnce) {
			limit.atOnce += 1;
		}
	}
};

/**
 * Takes the fetches that are under way now. Beyond some number at once the store slows each in proportion: of `most` at once that go at a
 * pace of `pace`, it serves `most / pace` at full speed. Engines that fetch more slowly for that load nothing else meanwhile, and the store serves
 * no more in all.
 */
export const mutateStoreLimit = (limit: StoreLimit, underWay: readonly StoreFetch[]): void => {
	const fetches = new Map(underWay.map(fetch => [fetch.upstreamId, fetch]));
	mutateLimitByEndedFetches(limit, fetches);
	limit.fetches = new Map(underWay.map(fetch => {
		const known = limit.fetches.get(fetch.upstreamId);
		const before = known?.model === fetch.model ? known.maxConcurrent : 0;
		return [fetch.upstreamId, {...fetch, maxConcurrent: Math.max(before, underWay.length)}];
	}));
	for (const {pace, maxConcurrent} of limit.fetches.values()) {
		if (pace >= SLOWED_PACE) {
			limit.atOnce = Math.min(limit.atOnce, Math.max(1, Math.floor(maxConcurrent / pace)));
		}
	}
};
