import type {AdmissionState} from './admission-state.js';

/** The default minimum of the Retry-After time of refusals, in milliseconds. */
const DEFAULT_MIN_RETRY_AFTER_MS = 1000;

/**
 * Returns the state of an admission without requests.
 * @param minRetryAfterMs - The minimum Retry-After time of refusals, in milliseconds.
 */
export const newAdmissionState = (minRetryAfterMs = DEFAULT_MIN_RETRY_AFTER_MS): AdmissionState => ({
	minRetryAfterMs,
	requests: new Map(),
	queues: new Map(),
	teams: new Map(),
	classWaiting: new Map(),
	lanes: new Map(),
	endpoints: new Map(),
	dispatchIntervals: new Map(),
	responseTimes: new Map(),
	classServices: new Map(),
	recentDispatches: [],
	endsAt: undefined,
	arrivals: new Map(),
	retryBudgets: new Map(),
	waitingRetries: new Map(),
	virtualTime: 0,
	nextDeadlineAt: Number.POSITIVE_INFINITY,
});
