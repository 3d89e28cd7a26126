/** How a process that uses a log ends, and what becomes of its disk until the next process has read the log. */
export type LogEnd = {
	readonly isPowerLost: boolean;
	/** The next process is killed at this file operation, while it reads the log or later; undefined if it is not. */
	readonly killAfter: number | undefined;
};
