/** What waits at an entry for one target. */
export type TargetDemand = {
	readonly target: string;
	readonly waiting: number;
	/** Sum over the waiting requests of the weights of their classes. */
	readonly weight: number;
	/** Remaining time of the waiting request that has most, in milliseconds. */
	readonly mostRemainingMs: number;
	/** Requests that arrived since the last report. */
	readonly arrivals: number;
};
