import {getMergedWaits} from './get-merged-waits.js';
import {getUnitName} from './get-unit-name.js';
import type {UnitNeed} from './unit-need.js';

const getSum = (left: UnitNeed, right: UnitNeed): UnitNeed => ({
	...left,
	waiting: left.waiting + right.waiting,
	inProgress: left.inProgress + right.inProgress,
	waits: getMergedWaits([...left.waits, ...right.waits]),
});

/** The needs of several gateways together, one for each unit. */
export const getMergedNeeds = (needs: Iterable<UnitNeed>): UnitNeed[] => {
	const merged = new Map<string, UnitNeed>();
	for (const need of needs) {
		const name = getUnitName(need.model, need.adapter);
		const known = merged.get(name);
		merged.set(name, known ? getSum(known, need) : need);
	}

	return [...merged.values()];
};
