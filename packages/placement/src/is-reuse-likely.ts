import type {UsageHistory} from './usage-history.js';
import type {KeepLoadedCosts} from './keep-loaded-costs.js';

/** The number of remembered gaps longer than the present one that is required to predict a reuse. */
const MIN_LONGER_GAPS = 3;

/** The number of assumed gaps that did not end within the window; this prior lowers the predicted chance if few gaps are known. */
const PRIOR_MISSES = 1;

/**
 * True if keeping the unit loaded over the next window is expected to save more than it costs. The chance of reuse within the window is
 * estimated from the remembered gaps that were longer than the present one.
 */
export const isReuseLikely = (history: UsageHistory, costs: KeepLoadedCosts, windowMs: number, now: number): boolean => {
	const elapsedMs = now - history.lastArrivalAt;
	const longer = history.gaps.filter(gap => gap > elapsedMs);
	if (longer.length < MIN_LONGER_GAPS) {
		return false;
	}

	const returns = longer.filter(gap => gap <= elapsedMs + windowMs).length;
	const chance = returns / (longer.length + PRIOR_MISSES);
	return chance * costs.coldStartCost > costs.idleCostPerMs * windowMs;
};
