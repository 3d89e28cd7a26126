import type {Rate} from './rate.js';

/** A part of one subject's bucket that the leader lends to a process, in addition to the parts that it lent before. */
export type RateLoan = Rate & {
	/** Units that it already contains. */
	readonly level: number;
	/** The most that the process may keep, from all sessions together; it returns the rest with its next report. */
	readonly maxPerSecond: number;
	readonly maxCapacity: number;
};
