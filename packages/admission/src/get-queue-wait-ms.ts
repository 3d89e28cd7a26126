import type {AdmissionState} from './admission-state.js';

/** Dispatches that must have been measured before the estimate refuses anything. */
const LEAST_SAMPLES = 8;

/** The expected wait of a request that joins a target's queue now, in milliseconds; 0 where nothing is known. */
export const getQueueWaitMs = (state: AdmissionState, target: string): number => {
	const speed = state.dispatchIntervals.get(target);
	if (!speed || speed.samples < LEAST_SAMPLES) {
		return 0;
	}

	return speed.meanMs * (state.queues.get(target)?.length ?? 0);
};
