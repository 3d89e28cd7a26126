import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/** Callers give up and others come; a break of this length ends the time for which a model was wanted, in milliseconds. */
const BREAK_MS = 2000;

/** Notes which models requests wait for. */
export const mutateWanted = (state: ResidencyState, needs: readonly UnitNeed[], now: number): void => {
	for (const [model, {lastAt}] of state.wanted) {
		if (now - lastAt > BREAK_MS) {
			state.wanted.delete(model);
		}
	}

	for (const {model, waiting} of needs) {
		if (waiting > 0) {
			state.wanted.set(model, {since: state.wanted.get(model)?.since ?? now, lastAt: now});
		}
	}
};
