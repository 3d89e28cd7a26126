/** A service to which a route leads or has led. */
export type RouteService = {
	/** The key of the route, see `getRouteKey`. */
	readonly route: string;
	readonly service: string;
};
