import type {PollIntervals} from '../sidecar/poll-intervals.js';

/**
 * An engine on another machine: each question costs it as much as a health check, and what it answers is some hundred milliseconds old.
 * Only this process's orders change its models, and their ends are announced, so it is asked rarely: for the adapters, and in case an
 * announcement is lost.
 */
export const REMOTE_POLLS: PollIntervals = {
	idleMs: 3000, busyMs: 400, endingMs: 150, adapterMs: 100, maxStatusAgeMs: 400, minIntervalMs: 20,
};
