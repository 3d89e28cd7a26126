/** How much time a waiting request has left to be answered within its latency objective. Lower values are dispatched first. */
export const REQUEST_STAGE = {
	/** The request must be dispatched soon to be in time. */
	Due: 0,
	/** The request can wait and still be in time, or has no latency objective. */
	CanWait: 1,
	/** The request can no longer be in time. */
	Late: 2,
} as const;
