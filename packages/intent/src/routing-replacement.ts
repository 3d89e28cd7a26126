/** Replaces the routing as a whole. A version that is not above the one in force changes nothing. */
export type RoutingReplacement = {
	readonly kind: 'routing';
	/** The leader's wall time in milliseconds. */
	readonly at: number;
	readonly version: number;
	/** The configuration as its operator sent it. */
	readonly document: string;
};
