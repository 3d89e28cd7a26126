/** What a gateway adds to a request for an upstream. */
export type UpstreamDispatch = {
	/** The run of the upstream that is meant; any other one at its address refuses the request. */
	readonly upstreamId: string;
	readonly remainingMs: number;
	/** 0 is the most urgent, 9 the least. */
	readonly priority: number;
	/** The last event that the caller has, where a stream is resumed. */
	readonly lastEventId: string | undefined;
};
