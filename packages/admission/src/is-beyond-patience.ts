import {getResponseForecast} from './get-response-forecast.js';
import type {AdmissionRequest} from './admission-request.js';
import type {AdmissionState} from './admission-state.js';

/**
 * True if a request that is dispatched in `waitMs` milliseconds gets no response before its caller leaves, or no complete one before its deadline, even
 * if it is served as fast as the fastest recent request of its class. False for a request without a time at which its caller leaves.
 */
export const isBeyondPatience = (state: AdmissionState, {className, leavesAt, deadlineAt}: AdmissionRequest, waitMs: number, now: number): boolean => {
	if (leavesAt === undefined) {
		return false;
	}

	const {shortestStartMs, shortestEndMs} = getResponseForecast(state, className, now);
	const dispatchAt = now + waitMs;
	return dispatchAt + shortestStartMs > leavesAt || dispatchAt + shortestEndMs > deadlineAt;
};
