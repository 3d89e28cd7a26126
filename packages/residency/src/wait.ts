/** Requests that wait for a unit to be loaded and are due at about the same time. Times are in milliseconds from now. */
export type Wait = {
	readonly count: number;
	/** The weights of their classes, added up. */
	readonly weight: number;
	/** Until the first of them misses its objective; negative once it has. */
	readonly dueInMs: number;
	/** Until its caller leaves or its time is over. */
	readonly leavesInMs: number;
};
