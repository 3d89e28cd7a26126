import {getLoadCostMs} from './get-load-cost-ms.js';
import type {LoadCandidate} from './load-candidate.js';
import type {LoadTimes} from './load-times.js';

/**
 * The earliest time at which an engine can have a model loaded, in milliseconds from now: at the end of its queued load if it has one,
 * otherwise right after the load in progress.
 */
export const getEarliestReadyMs = (candidate: LoadCandidate, times: LoadTimes): number => {
	if (candidate.isLoaded) {
		return candidate.busyMs;
	}

	return candidate.remainingMs ?? (candidate.busyMs + getLoadCostMs(candidate, times));
};
