/** How fast a target's queue moved lately. */
export type DispatchInterval = {
	/** Running mean of the time between dispatches while requests waited, in milliseconds; 0 until measured. */
	meanMs: number;
	samples: number;
	lastDispatchAt: number;
};
