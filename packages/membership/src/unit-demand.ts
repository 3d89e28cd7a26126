/** The requests of one entry for one unit, a model or an adapter. */
export type UnitDemand = {
	readonly unit: string;
	readonly waiting: number;
	/** Sum of the class weights of all waiting requests. */
	readonly weight: number;
	/** The longest time that any waiting request has left before its deadline, in milliseconds. */
	readonly mostRemainingMs: number;
	readonly arrivals: number;
	readonly inProgress: number;
};
