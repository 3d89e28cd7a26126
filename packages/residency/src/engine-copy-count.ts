/** An engine that holds a model. */
export type EngineCopyCount = {
	readonly upstreamId: string;
	/** Models of which it keeps a copy. */
	readonly copies: number;
};
