import type {PollIntervals} from './poll-intervals.js';

/**
 * An engine on the same machine: asking is free and the answer fresh. The short time at the end of an order is worth 2 in 100 of the
 * credit in the laboratory's hot-shift; an adapter loads within milliseconds.
 */
export const LOCAL_POLLS: PollIntervals = {
	idleMs: 1000, busyMs: 40, endingMs: 10, adapterMs: 10, maxStatusAgeMs: 0, minIntervalMs: 0,
};
