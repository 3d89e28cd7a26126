/** How a deployment weighs what it measures, and the limits of its weight store. */
export type PolicySettings = {
	/** Cost of one second that one request of weight 1 waits for a cold unit. */
	readonly coldStartWeight: number;
	/** Cost of one second that one whole accelerator holds weights without work. */
	readonly idleWeight: number;
	/** Loads from the weight store that may start in a second. */
	readonly loadsPerSecond: number;
	/** Loads from the weight store that may run at once. */
	readonly concurrentLoads: number;
	/** Load time assumed before any was measured, in milliseconds for each GiB. */
	readonly assumedLoadMsPerGib: number;
};
