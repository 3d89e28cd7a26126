import type {ObservedFetch} from './observed-fetch.js';
import type {StoreFetch} from './store-fetch.js';
import type {StoreEstimate} from './store-estimate.js';

/** A fetch that exceeds its configured load time by this factor is slowed by other fetches; a slow engine alone prolongs it by up to 1.3. */
const SLOWED_PACE = 1.5;

/**
 * A fetch whose last reported pace is at most this ran at full speed. One beside slightly too many fetches, or on an engine that takes 1.3 times as
 * long, ends with a higher pace: it neither raises nor lowers the estimate.
 */
const FULL_SPEED_PACE = 1;

/** Half of the step in which engines report the pace of a fetch: what a fetch took on average beyond its last reported pace. */
const HALF_PACE_STEP = 0.125;

/**
 * The share of the upper bound that an overdue fetch implies for the estimate. The fetch shows only that the store sustains fewer fetches than the
 * bound; any lower number is as likely, and the end of the fetch shows the number itself.
 */
const OVERDUE_SHARE = 0.5;

/**
 * The number of rounds of fetches at full speed after which a number of concurrent fetches is tried again that was slow before. A trial on a store
 * that sustains one fetch blocks two engines for twice the load time.
 */
const RETRIAL_ROUNDS = 4;

const mutateMaxFetches = (estimate: StoreEstimate, maxFetches: number): void => {
	estimate.maxFetches = Math.max(1, maxFetches);
	estimate.fullSpeedCount = 0;
	estimate.isMeasured = true;
};

/** Counts a fetch that ended at full speed, and raises the estimate: at first by one for each, after a slowed fetch by one for each round. */
const mutateByFullSpeed = (estimate: StoreEstimate, {maxConcurrent}: ObservedFetch): void => {
	const {maxFetches} = estimate;
	if (maxConcurrent < maxFetches) {
		return;
	}

	// As many fetches as were slow before run at full speed, so the store has become faster.
	estimate.slowedAt = estimate.slowedAt !== undefined && maxConcurrent >= estimate.slowedAt ? undefined : estimate.slowedAt;
	estimate.isMeasured = true;
	estimate.fullSpeedCount += 1;
	const {slowedAt} = estimate;
	const rounds = slowedAt !== undefined && maxFetches + 1 >= slowedAt ? RETRIAL_ROUNDS : 1;
	if (estimate.fullSpeedCount >= (slowedAt === undefined ? 1 : maxFetches * rounds)) {
		mutateMaxFetches(estimate, maxFetches + 1);
	}
};

const mutateByEnded = (estimate: StoreEstimate, fetch: ObservedFetch): void => {
	if (fetch.pace <= FULL_SPEED_PACE) {
		mutateByFullSpeed(estimate, fetch);
	} else if (fetch.pace >= SLOWED_PACE) {
		const sustained = 1 / (fetch.storeShare + (HALF_PACE_STEP / fetch.maxConcurrent));
		mutateMaxFetches(estimate, Math.round(sustained));
	} else if (estimate.slowedAt !== undefined && estimate.maxFetches >= estimate.slowedAt) {
		// The trial of a number that was slow before has failed again.
		mutateMaxFetches(estimate, estimate.slowedAt - 1);
	}
};

const newObservedFetch = (fetch: StoreFetch, before: ObservedFetch | undefined, concurrent: number): ObservedFetch => ({
	...fetch,
	storeShare: (before?.storeShare ?? 0) + (Math.max(0, fetch.pace - (before?.pace ?? 0)) / concurrent),
	maxConcurrent: Math.max(before?.maxConcurrent ?? 0, concurrent),
});

/** Lowers the estimate as soon as a fetch in progress is overdue: the store sustains fewer fetches than ran beside it. */
const mutateByOverdue = (estimate: StoreEstimate): void => {
	for (const {pace, storeShare, maxConcurrent} of estimate.fetches.values()) {
		const bound = Math.max(1, Math.floor(OVERDUE_SHARE / storeShare));
		if (pace >= SLOWED_PACE && maxConcurrent > 1) {
			estimate.slowedAt = Math.min(estimate.slowedAt ?? maxConcurrent, maxConcurrent);
			if (bound < estimate.maxFetches) {
				mutateMaxFetches(estimate, bound);
			}
		}
	}
};

/**
 * Updates the estimate of how many fetches the weight store sustains. Beyond that number it slows all fetches proportionally, so that a fetch takes
 * the time in which its share of the store adds up to one load. An overdue fetch lowers the estimate while it is in progress, its end corrects it,
 * and fetches that end at full speed raise it.
 * @param hasDelivered - True if a fetch that is no longer in progress has left a copy; one that its engine's crash ended shows nothing.
 */
export const mutateStoreEstimate = (estimate: StoreEstimate, underWay: readonly StoreFetch[], hasDelivered: (fetch: StoreFetch) => boolean): void => {
	const before = estimate.fetches;
	const models = new Map(underWay.map(({upstreamId, model}) => [upstreamId, model]));
	for (const fetch of before.values()) {
		if (models.get(fetch.upstreamId) !== fetch.model && hasDelivered(fetch)) {
			mutateByEnded(estimate, fetch);
		}
	}

	estimate.fetches = new Map(underWay.map(fetch => {
		const known = before.get(fetch.upstreamId);
		return [fetch.upstreamId, newObservedFetch(fetch, known?.model === fetch.model ? known : undefined, underWay.length)];
	}));
	mutateByOverdue(estimate);
};
