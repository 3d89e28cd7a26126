/** What one policy made of one trace. */
export type ReplayResult = {
	/** Waits of requests that found no ready replica, in milliseconds, by class. */
	readonly coldWaits: ReadonlyMap<string, readonly number[]>;
	/** Waits of all served requests by team. */
	readonly teamWaits: ReadonlyMap<string, readonly number[]>;
	/** Accelerators that held weights without work, in hours. */
	readonly idleHours: number;
	/** Accelerators that were loading weights, in hours. */
	readonly loadingHours: number;
	readonly loads: number;
	readonly served: number;
	/** Refused by class, as their time was over before they were served. */
	readonly refused: ReadonlyMap<string, number>;
	/** Weighted cost: cold waits by the weights of their classes, idle and loading time by the deployment's. */
	readonly cost: number;
};
