import {getResponseForecast} from './get-response-forecast.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

/**
 * Returns the time at which a request must be dispatched so that its response begins within its latency objective, in monotonic milliseconds. A request
 * without an objective, and one whose stream may have begun, have none left to wait for: their time of arrival is returned.
 */
export const getLatestStart = (state: AdmissionState, {request, runs}: Pick<RequestRecord, 'request' | 'runs'>, now: number): number => {
	const isTimed = runs === 0 && request.dueAt !== undefined;
	return isTimed ? request.dueAt - getResponseForecast(state, request.className, now).startMs : request.arrivedAt;
};
