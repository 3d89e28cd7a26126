/** The measured time between dispatches from a target's queue. */
export type DispatchInterval = {
	/** The exponential moving average of the time between dispatches while requests waited, in milliseconds; 0 until measured. */
	meanMs: number;
	/** The longest recent time between dispatches while requests waited, in milliseconds; it shrinks with each dispatch. */
	longestMs: number;
	/** The number of consecutive dispatches after which requests were still waiting. */
	samples: number;
	/** The time of the last dispatch, in monotonic milliseconds. */
	lastDispatchAt: number;
};
