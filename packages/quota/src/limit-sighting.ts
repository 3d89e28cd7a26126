/** Rate limit announced in one response of an upstream, or its absence. */
export type LimitSighting = {
	readonly upstreamId: string;
	/** Requests per second from all processes together; undefined if the response announced no limit. */
	readonly perSecond: number | undefined;
	/** Time of the response, in monotonic milliseconds of the process that records it. */
	readonly at: number;
};
