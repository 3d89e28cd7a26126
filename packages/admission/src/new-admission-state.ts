import type {AdmissionState} from './admission-state.js';

/** An entry without requests. */
export const newAdmissionState = (): AdmissionState => ({
	requests: new Map(),
	queues: new Map(),
	teams: new Map(),
	classWaiting: new Map(),
	lanes: new Map(),
	endpoints: new Map(),
	speeds: new Map(),
	arrivals: new Map(),
	retryTokens: 1,
	virtualTime: 0,
	nextDeadlineAt: Number.POSITIVE_INFINITY,
});
