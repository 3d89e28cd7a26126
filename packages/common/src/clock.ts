/** The time of a process. */
export type Clock = {
	/** Monotonic milliseconds; only differences mean anything. */
	readonly now: () => number;
	/** Milliseconds since the Unix epoch. */
	readonly wallNow: () => number;
};
