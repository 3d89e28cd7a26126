import type {History} from './history.js';
import type {KeepCosts} from './keep-costs.js';

/** Weight of the break-even prior, in gaps. */
const PRIOR_GAPS = 2;

/** A unit is kept for at least this long after a use, in milliseconds. */
const LEAST_KEEP_MS = 5000;

const getBestKeepMs = (gaps: readonly number[], costs: KeepCosts): number => {
	const sorted = [...gaps].sort((left, right) => left - right);
	let best = {keepMs: 0, cost: sorted.length * costs.coldStart};
	let keptSum = 0;
	for (const [index, gap] of sorted.entries()) {
		keptSum += gap;
		const longer = sorted.length - index - 1;
		const cost = (costs.idlePerMs * (keptSum + (longer * gap))) + (longer * costs.coldStart);
		if (cost <= best.cost) {
			best = {keepMs: gap, cost};
		}
	}

	return best.keepMs;
};

/**
 * How long a unit is kept after its last use, in milliseconds: the time whose expected cost over the
 * remembered gaps is least. With few gaps the break-even time of the ski-rental problem decides,
 * whose cost is at most twice the optimum (Karlin et al., 1988).
 */
export const getKeepMs = (history: History | undefined, costs: KeepCosts): number => {
	const breakEvenMs = Math.max(LEAST_KEEP_MS, costs.coldStart / costs.idlePerMs);
	const gaps = history?.gaps ?? [];
	if (gaps.length < PRIOR_GAPS) {
		return breakEvenMs;
	}

	const slack = 1 + (PRIOR_GAPS / gaps.length);
	const keepMs = getBestKeepMs(gaps, costs) * slack;
	return Math.max(LEAST_KEEP_MS, Math.min(keepMs, breakEvenMs * PRIOR_GAPS));
};
