import type {UsageHistory} from './usage-history.js';
import type {KeepLoadedCosts} from './keep-loaded-costs.js';

/** Gaps of at least the present length that must be known before a return is predicted. */
const MIN_LONGER_GAPS = 3;

/** Prior weight, in gaps that did not end within the window. */
const PRIOR_MISSES = 1;

/**
 * Whether being loaded over the next window is expected to save more than it costs, given how long
 * the unit has been unused. The chance of a return comes from the remembered gaps.
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
