/** The limits that apply to a request from its arrival, as this entry's share of the limits of the whole installation. */
export type RequestLimits = {
	/** The maximum number of the team's requests in progress. */
	readonly teamInProgress: number;
	/** The maximum number of the team's waiting requests. */
	readonly teamWaiting: number;
	/** The maximum number of waiting requests of the class. */
	readonly classWaiting: number;
};
