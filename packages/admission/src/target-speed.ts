/** How fast a target's queue moved lately. */
export type TargetSpeed = {
	/** Running mean of the time between dispatches while requests waited, in milliseconds; 0 until measured. */
	intervalMs: number;
	samples: number;
	lastDispatchAt: number;
};
