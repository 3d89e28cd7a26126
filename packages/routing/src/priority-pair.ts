/** The priorities of a request's team and route. 0 is the most urgent, and the team's priority takes precedence over the route's. */
export type PriorityPair = {
	readonly team: number;
	readonly route: number;
};
