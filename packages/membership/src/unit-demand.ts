/** What one entry has waiting for one unit. */
export type UnitDemand = {
	readonly unit: string;
	readonly waiting: number;
	/** Sum over the waiting requests of the weights of their classes. */
	readonly weight: number;
	/** Remaining time of the waiting request that has most, in milliseconds. */
	readonly mostRemainingMs: number;
	readonly arrivals: number;
	readonly inProgress: number;
};
