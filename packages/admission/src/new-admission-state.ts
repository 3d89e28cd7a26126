import type {AdmissionState} from './admission-state.js';

/** The usual least time after which a refused caller is asked back, in milliseconds. */
const DEFAULT_MIN_RETRY_AFTER_MS = 1000;

/** An entry without requests. */
export const newAdmissionState = (minRetryAfterMs = DEFAULT_MIN_RETRY_AFTER_MS): AdmissionState => ({
	minRetryAfterMs,
	requests: new Map(),
	queues: new Map(),
	teams: new Map(),
	classWaiting: new Map(),
	lanes: new Map(),
	endpoints: new Map(),
	dispatchIntervals: new Map(),
	endsAt: undefined,
	arrivals: new Map(),
	retryBudgets: new Map(),
	virtualTime: 0,
	nextDeadlineAt: Number.POSITIVE_INFINITY,
});
