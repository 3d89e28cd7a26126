import type {PollIntervals} from '../sidecar/poll-intervals.js';

/**
 * Poll intervals for an engine on another machine. Each poll costs the engine as much as a health check, and the status it returns is some
 * hundred milliseconds old. Only orders of this process change the engine's models, and the engine announces when an order has ended, so
 * polls are rare: they serve to detect loaded adapters, and to recover from lost announcements.
 */
export const REMOTE_POLL_INTERVALS: PollIntervals = {
	idleMs: 3000, busyMs: 400, endingMs: 150, adapterMs: 100, maxStatusAgeMs: 400, minIntervalMs: 20,
};
