import type {AdmissionState} from './admission-state.js';

/** Dispatches that must have been measured before the estimate refuses anything. */
const MIN_SAMPLES = 8;

/** The expected wait of a request that joins a target's queue now, in milliseconds; 0 where nothing is known. */
export const getQueueWaitMs = (state: AdmissionState, target: string): number => {
	const dispatchInterval = state.dispatchIntervals.get(target);
	if (!dispatchInterval || dispatchInterval.samples < MIN_SAMPLES) {
		return 0;
	}

	return dispatchInterval.meanMs * (state.queues.get(target)?.length ?? 0);
};
