import {getEarliestReadyMs} from './get-earliest-ready-ms.js';
import type {LoadCandidate} from './load-candidate.js';
import type {LoadTimes} from './load-times.js';

/**
 * The time until an engine can have a model loaded, for telling a caller. Unlike the cost by which engines are compared, a fetch counts with its
 * duration alone, without the loads from copies that it displaces. It begins after all loads that the engine has queued, as these are worth more
 * for each millisecond.
 */
export const getForecastReadyMs = (candidate: LoadCandidate, times: LoadTimes): number => {
	const isFetch = !candidate.isLoaded && candidate.remainingMs === undefined && !candidate.hasMemoryCopy && !candidate.hasDiskCopy;
	return isFetch ? candidate.queueMs + times.storeLoadMs : getEarliestReadyMs(candidate, times);
};
