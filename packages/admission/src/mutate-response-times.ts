import {RESPONSE_WINDOW_MS} from './response-window-ms.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';
import type {ResponseTimes} from './response-times.js';
import type {ShortestTimes} from './shortest-times.js';

/** Weight of the newest sample in the exponential moving average of the time until responses begin. */
const START_SMOOTHING = 0.2;

const newShortestTimes = (): ShortestTimes => ({startMs: Number.POSITIVE_INFINITY, endMs: Number.POSITIVE_INFINITY});

const mutateWindow = (times: ResponseTimes, now: number): void => {
	const ageMs = now - times.windowStartedAt;
	if (ageMs < RESPONSE_WINDOW_MS) {
		return;
	}

	times.previous = ageMs < RESPONSE_WINDOW_MS * 2 ? times.current : newShortestTimes();
	times.current = newShortestTimes();
	times.windowStartedAt = now;
};

/**
 * Records that the response to a request has begun or is complete. Times are kept by class and not by target: requests of a class have similar sizes,
 * and an entry sends too few requests for one rare model to learn its times.
 * @param isStart - True if the beginning of the response was not recorded before.
 */
export const mutateResponseTimes = (state: AdmissionState, {request, dispatchedAt}: RequestRecord, {isStart, isEnd}: {readonly isStart: boolean; readonly isEnd: boolean}, now: number): void => {
	const elapsedMs = now - dispatchedAt;
	const times = state.responseTimes.get(request.className) ?? {
		meanStartMs: elapsedMs, current: newShortestTimes(), previous: newShortestTimes(), windowStartedAt: now,
	};
	state.responseTimes.set(request.className, times);
	mutateWindow(times, now);
	if (isStart) {
		times.meanStartMs += (elapsedMs - times.meanStartMs) * START_SMOOTHING;
		times.current.startMs = Math.min(times.current.startMs, elapsedMs);
	}

	if (isEnd) {
		times.current.endMs = Math.min(times.current.endMs, elapsedMs);
	}
};
