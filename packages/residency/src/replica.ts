/** An engine that holds a model. */
export type Replica = {
	readonly upstreamId: string;
	/** Models of which it keeps a copy. */
	readonly copies: number;
};
