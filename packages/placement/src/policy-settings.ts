/** The placement policy of a deployment: cost weights, and the limits of its weight store. */
export type PolicySettings = {
	/** Cost of one request of weight 1 waiting for a cold unit for one second. */
	readonly coldStartWeight: number;
	/** Cost of one whole accelerator holding the weights of idle units for one second. */
	readonly idleWeight: number;
	/** The maximum number of loads from the weight store that start per second. */
	readonly loadsPerSecond: number;
	/** The maximum number of concurrent loads from the weight store. */
	readonly concurrentLoads: number;
	/** The load time from the weight store that is assumed until one has been measured, in milliseconds per GiB. */
	readonly assumedLoadMsPerGib: number;
};
