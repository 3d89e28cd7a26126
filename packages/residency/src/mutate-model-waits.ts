import type {ResidencyState} from './residency-state.js';
import type {UnitNeed} from './unit-need.js';

/** The longest gap without waiting requests in one model wait, in milliseconds; callers give up and new ones arrive within such gaps. */
const MAX_GAP_MS = 2000;

/** Starts or extends the model wait of every model that requests wait for, and removes model waits that have ended. */
export const mutateModelWaits = (state: ResidencyState, needs: readonly UnitNeed[], now: number): void => {
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
