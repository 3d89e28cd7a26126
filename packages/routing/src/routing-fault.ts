/** A validation error of a routing configuration. */
export type RoutingFault = {
	/** The part of the configuration that has the error, such as `routes.r-1`. */
	readonly path: string;
	readonly reason: string;
};
