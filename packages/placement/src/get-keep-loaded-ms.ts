import type {UsageHistory} from './usage-history.js';
import type {KeepLoadedCosts} from './keep-loaded-costs.js';

/** Weight of the break-even prior, in gaps. */
const PRIOR_GAPS = 2;

/** A unit is kept for at least this long after a use, in milliseconds. */
const MIN_KEEP_LOADED_MS = 5000;

const getCheapestKeepLoadedMs = (gaps: readonly number[], costs: KeepLoadedCosts): number => {
	const sorted = [...gaps].sort((left, right) => left - right);
	let best = {keepLoadedMs: 0, cost: sorted.length * costs.coldStartCost};
	let keptSum = 0;
	for (const [index, gap] of sorted.entries()) {
		keptSum += gap;
		const longer = sorted.length - index - 1;
		const cost = (costs.idleCostPerMs * (keptSum + (longer * gap))) + (longer * costs.coldStartCost);
		if (cost <= best.cost) {
			best = {keepLoadedMs: gap, cost};
		}
	}

	return best.keepLoadedMs;
};

/**
 * How long a unit is kept after its last use, in milliseconds: the time whose expected cost over the
 * remembered gaps is least. With few gaps the break-even time of the ski-rental problem decides,
 * whose cost is at most twice the optimum (Karlin et al., 1988).
 */
export const getKeepLoadedMs = (history: UsageHistory | undefined, costs: KeepLoadedCosts): number => {
	const breakEvenMs = Math.max(MIN_KEEP_LOADED_MS, costs.coldStartCost / costs.idleCostPerMs);
	const gaps = history?.gaps ?? [];
	if (gaps.length < PRIOR_GAPS) {
		return breakEvenMs;
	}

	const slack = 1 + (PRIOR_GAPS / gaps.length);
	const keepLoadedMs = getCheapestKeepLoadedMs(gaps, costs) * slack;
	return Math.max(MIN_KEEP_LOADED_MS, Math.min(keepLoadedMs, breakEvenMs * PRIOR_GAPS));
};
