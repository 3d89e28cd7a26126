import type {AdmissionState} from './admission-state.js';

/** The number of measured dispatches that the estimate requires, so that no request is refused because of too few samples. */
const MIN_SAMPLES = 8;

/** Returns the mean time between dispatches of a target while requests wait, in milliseconds; 0 if there are too few samples for an estimate. */
export const getDispatchIntervalMs = (state: AdmissionState, target: string): number => {
	const dispatchInterval = state.dispatchIntervals.get(target);
	return dispatchInterval && dispatchInterval.samples >= MIN_SAMPLES ? dispatchInterval.meanMs : 0;
};
