/** A change of the register of the services to which routes have led. */
export type RouteChange = {
	readonly kind: 'add' | 'remove';
	/** Host and path prefix of the route. */
	readonly route: string;
	readonly service: string;
};
