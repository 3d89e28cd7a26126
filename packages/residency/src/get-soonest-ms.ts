import {getLoadCostMs} from './get-load-cost-ms.js';
import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/**
 * The earliest time at which an engine can have a model loaded, in milliseconds from now: at the end of its queued load if it has one,
 * otherwise right after the load in progress.
 */
export const getSoonestMs = (candidate: LoadSite, times: LoadTimes): number => {
	if (candidate.isHeld) {
		return candidate.busyMs;
	}

	return candidate.remainingMs ?? (candidate.busyMs + getLoadCostMs(candidate, times));
};
