/** A group of requests that wait for a unit to be loaded and are due at about the same time. Times are in milliseconds from now. */
export type Wait = {
	readonly count: number;
	/** The sum of the class weights of the requests. */
	readonly weight: number;
	/** Time until the first of the requests misses its latency objective; negative once it has. */
	readonly dueInMs: number;
	/** Time until the first caller leaves or its request's deadline passes. */
	readonly leavesInMs: number;
};
