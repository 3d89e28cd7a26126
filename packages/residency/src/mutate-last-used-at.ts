import {getUnitName} from './get-unit-name.js';
import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/** Records the current time as the last use of every unit that requests use or wait for, and of the model of every such adapter. */
export const mutateLastUsedAt = (state: ResidencyState, needs: readonly UnitNeed[], now: number): void => {
	for (const {model, adapter, waiting, inProgress} of needs) {
		if (waiting + inProgress > 0) {
			state.lastUsedAt.set(getUnitName(model, adapter), now);
			state.lastUsedAt.set(model, now);
		}
	}
};
