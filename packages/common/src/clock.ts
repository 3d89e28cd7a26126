/** The clocks that a process reads: monotonic time and wall-clock time. */
export type Clock = {
	/** Monotonic time in milliseconds. Its origin is arbitrary, so only differences are meaningful. */
	readonly now: () => number;
	/** Wall-clock time in milliseconds since the Unix epoch. */
	readonly wallNow: () => number;
};
