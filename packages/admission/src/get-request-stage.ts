import {getResponseForecast} from './get-response-forecast.js';
import {REQUEST_STAGE} from './request-stage.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';
import type {RequestStageValue} from './request-stage-value.js';

/**
 * A request is due at least this long before its latest start, in milliseconds. Slots become free at random times, and several requests may be due
 * together: with 100 ms, a sixth of the urgent requests of a burst were late although the capacity sufficed.
 */
const MIN_DUE_MS = 250;

/**
 * Number of requests that may be due together and go first, each of which takes one dispatch. In 8 runs of `latest-start.feature` with other random numbers,
 * twice as many let a flooding team's due requests delay another team (98.6 of 100 in time, not 100).
 */
const DUE_DISPATCHES = 3;

/**
 * Returns the time before its latest start at which a request of a target is due, in milliseconds. It is the longest recent time without a dispatch, as the
 * request would be late after another one, and the time of some dispatches, as others may be due at the end of it. It is the same for all requests of a
 * target, so that none goes before one with less time.
 */
const getDueMs = (state: AdmissionState, target: string): number => {
	const {meanMs = 0, longestMs = 0} = state.dispatchIntervals.get(target) ?? {};
	return Math.max(MIN_DUE_MS, longestMs + (meanMs * DUE_DISPATCHES));
};

/**
 * Returns the stage of a waiting request. One that may have run before is due: its answer may have begun, and would be broken off if it were not
 * continued.
 */
export const getRequestStage = (state: AdmissionState, {request, runs}: Pick<RequestRecord, 'request' | 'runs'>, now: number): RequestStageValue => {
	if (runs > 0) {
		return REQUEST_STAGE.Due;
	}

	if (request.dueAt === undefined) {
		return REQUEST_STAGE.CanWait;
	}

	const {startMs, shortestStartMs} = getResponseForecast(state, request.className, now);
	const remainingMs = request.dueAt - now;
	if (remainingMs < shortestStartMs) {
		return REQUEST_STAGE.Late;
	}

	return remainingMs - startMs < getDueMs(state, request.target) ? REQUEST_STAGE.Due : REQUEST_STAGE.CanWait;
};
