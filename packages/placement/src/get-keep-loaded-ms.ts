import type {UsageHistory} from './usage-history.js';
import type {KeepLoadedCosts} from './keep-loaded-costs.js';

/** The weight of the break-even time relative to the remembered gaps, expressed as a number of gaps. */
const PRIOR_GAPS = 2;

/** The minimum time for which a unit stays loaded after its last use, in milliseconds. */
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
 * How long a unit stays loaded after its last use, in milliseconds: the time with the lowest cost over the remembered gaps between uses.
 * With fewer gaps than the prior it is the break-even time of the ski-rental problem, whose cost is at most twice the optimum
 * (Karlin et al., 1988).
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
