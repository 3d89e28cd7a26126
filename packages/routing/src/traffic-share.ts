/** A service's part of a route's requests. */
export type TrafficShare = {
	readonly service: string;
	readonly weight: number;
};
