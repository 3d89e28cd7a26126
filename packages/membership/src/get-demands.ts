import type {Fleet} from './fleet.js';
import type {UnitDemand} from './unit-demand.js';

const addDemands = (left: UnitDemand, right: UnitDemand): UnitDemand => ({
	unit: left.unit,
	waiting: left.waiting + right.waiting,
	weight: left.weight + right.weight,
	mostRemainingMs: Math.max(left.mostRemainingMs, right.mostRemainingMs),
	arrivals: left.arrivals + right.arrivals,
	inProgress: left.inProgress + right.inProgress,
});

/** Returns the demand for each unit, summed over all entries. */
export const getDemands = (fleet: Fleet): ReadonlyMap<string, UnitDemand> => {
	const demands = new Map<string, UnitDemand>();
	for (const {report} of fleet.entries.values()) {
		for (const demand of report.demands) {
			const sum = demands.get(demand.unit);
			demands.set(demand.unit, sum ? addDemands(sum, demand) : demand);
		}
	}

	return demands;
};
