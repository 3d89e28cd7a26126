/** The demand for one target at an entry: its waiting requests and recent arrivals. */
export type TargetDemand = {
	readonly target: string;
	/** The number of waiting requests. */
	readonly waiting: number;
	/** The sum of the class weights of the waiting requests. */
	readonly weight: number;
	/** The longest remaining time until the deadline of a waiting request, in milliseconds. */
	readonly mostRemainingMs: number;
	/** The number of requests that arrived since the last report. */
	readonly arrivals: number;
};
