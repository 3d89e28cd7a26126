import type {History} from './history.js';
import type {KeepCosts} from './keep-costs.js';

/** Gaps of at least the present length that must be known before a return is predicted. */
const LEAST_EVIDENCE = 3;

/** Prior weight, in gaps that did not end within the window. */
const PRIOR_MISSES = 1;

/**
 * Whether being loaded over the next window is expected to save more than it costs, given how long
 * the unit has been unused. The chance of a return comes from the remembered gaps.
 */
export const isReturnLikely = (history: History, costs: KeepCosts, windowMs: number, now: number): boolean => {
	const elapsedMs = now - history.lastArrivalAt;
	const longer = history.gaps.filter(gap => gap > elapsedMs);
	if (longer.length < LEAST_EVIDENCE) {
		return false;
	}

	const returns = longer.filter(gap => gap <= elapsedMs + windowMs).length;
	const chance = returns / (longer.length + PRIOR_MISSES);
	return chance * costs.coldStart > costs.idlePerMs * windowMs;
};
