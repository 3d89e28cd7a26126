import type {AdmissionState} from './admission-state.js';

/** The number of measured dispatches that the estimate requires, so that no request is refused because of too few samples. */
const MIN_SAMPLES = 8;

/** Returns the expected wait of a request that joins a target's queue now, in milliseconds; 0 if there are too few samples for an estimate. */
export const getQueueWaitMs = (state: AdmissionState, target: string): number => {
	const dispatchInterval = state.dispatchIntervals.get(target);
	if (!dispatchInterval || dispatchInterval.samples < MIN_SAMPLES) {
		return 0;
	}

	return dispatchInterval.meanMs * (state.queues.get(target)?.length ?? 0);
};
