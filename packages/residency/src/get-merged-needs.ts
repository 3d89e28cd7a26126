import {getMergedWaits} from './get-merged-waits.js';
import {getUnitName} from './get-unit-name.js';
import type {UnitNeed} from './unit-need.js';

const getMergedNeed = (needs: readonly UnitNeed[]): UnitNeed => needs.length === 1
	? needs[0]
	: {
		...needs[0],
		waiting: needs.reduce((sum, need) => sum + need.waiting, 0),
		inProgress: needs.reduce((sum, need) => sum + need.inProgress, 0),
		waits: getMergedWaits(needs.flatMap(need => need.waits)),
		isUrgencyOrdered: needs.some(need => need.isUrgencyOrdered === true),
	};

/** Sums the needs of all gateways into one need per unit. */
export const getMergedNeeds = (needs: Iterable<UnitNeed>): UnitNeed[] => {
	const units = new Map<string, UnitNeed[]>();
	for (const need of needs) {
		const name = getUnitName(need.model, need.adapter);
		const known = units.get(name) ?? [];
		known.push(need);
		units.set(name, known);
	}

	return [...units.values()].map(parts => getMergedNeed(parts));
};
