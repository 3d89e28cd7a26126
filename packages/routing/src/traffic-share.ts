/** A service of a route and its weight; the service receives a share of the route's requests in proportion to its weight. */
export type TrafficShare = {
	readonly service: string;
	readonly weight: number;
};
