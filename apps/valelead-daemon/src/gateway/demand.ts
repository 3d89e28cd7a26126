/** A request, at a gateway or expected back there, that needs a unit to be loaded. Times are monotonic milliseconds. */
export type Demand = {
	readonly service: string;
	/** Names the unit. */
	readonly target: string;
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** What it counts in the choice of loads. */
	readonly weight: number;
	/** When it misses its objective. */
	readonly dueAt: number;
	/** When its caller leaves or its time is over. */
	readonly leavesAt: number;
};
