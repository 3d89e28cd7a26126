import {RESPONSE_WINDOW_MS} from './response-window-ms.js';
import type {AdmissionState} from './admission-state.js';
import type {ResponseForecast} from './response-forecast.js';

const UNKNOWN: ResponseForecast = {startMs: 0, shortestStartMs: 0, shortestEndMs: 0};

const getKnownMs = (currentMs: number, previousMs: number): number => {
	const shortestMs = Math.min(currentMs, previousMs);
	return Number.isFinite(shortestMs) ? shortestMs : 0;
};

/**
 * Returns the forecast for the response to a request of a class that is dispatched now. Shortest times measured more than two windows ago do not count: a
 * class whose requests are all refused gets no new samples, and would be refused for ever. The mean stays, as it refuses no request.
 */
export const getResponseForecast = (state: AdmissionState, className: string, now: number): ResponseForecast => {
	const times = state.responseTimes.get(className);
	if (!times) {
		return UNKNOWN;
	}

	const {current, previous, meanStartMs} = times;
	if (now - times.windowStartedAt >= RESPONSE_WINDOW_MS * 2) {
		return {...UNKNOWN, startMs: meanStartMs};
	}

	return {
		startMs: meanStartMs,
		shortestStartMs: getKnownMs(current.startMs, previous.startMs),
		shortestEndMs: getKnownMs(current.endMs, previous.endMs),
	};
};
