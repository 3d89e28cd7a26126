import type {LogEnd} from './log-end.js';

/** One batch that is written to a log, what disturbs the write, and the ends of processes after it. */
export type LogStep = {
	readonly write: 'entries' | 'vote' | 'snapshot';
	/** Number of stored entries that the new ones replace, at most. */
	readonly replaced: number;
	/** The process is killed at this file operation of the write. */
	readonly killAfter: number | undefined;
	/** The disk refuses this file operation of the write. */
	readonly refuseAfter: number | undefined;
	readonly ends: readonly LogEnd[];
};
