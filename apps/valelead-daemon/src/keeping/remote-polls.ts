import type {PollTimes} from '../sidecar/poll-times.js';

/**
 * An engine on another machine: each question costs it as much as a health check, and what it answers is some hundred milliseconds old,
 * so asking more often shows nothing new.
 */
export const REMOTE_POLLS: PollTimes = {
	idleMs: 3000, busyMs: 120, endingMs: 60, adapterMs: 60, leastMs: 60,
};
