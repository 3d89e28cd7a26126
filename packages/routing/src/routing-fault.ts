/** Why a routing configuration cannot be accepted. */
export type RoutingFault = {
	/** Where it stands, such as `routes.r-1`. */
	readonly path: string;
	readonly reason: string;
};
