import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/** Callers give up and others come; a break of this length ends the time for which a model was wanted, in milliseconds. */
const MAX_GAP_MS = 2000;

/** Notes which models requests wait for. */
export const mutateWanted = (state: ResidencyState, needs: readonly UnitNeed[], now: number): void => {
	for (const [model, {lastAt}] of state.modelWaits) {
		if (now - lastAt > MAX_GAP_MS) {
			state.modelWaits.delete(model);
		}
	}

	for (const {model, waiting} of needs) {
		if (waiting > 0) {
			state.modelWaits.set(model, {since: state.modelWaits.get(model)?.since ?? now, lastAt: now});
		}
	}
};
