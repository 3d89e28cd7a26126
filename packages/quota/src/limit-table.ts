/** A rate limit that an upstream announced in a response. */
type AnnouncedLimit = {
	/** Requests per second from all processes together. */
	readonly perSecond: number;
	/** Time of the last response that announced the limit, in monotonic milliseconds. */
	readonly announcedAt: number;
};

/** Rate limits announced by upstreams, by run id of the upstream. */
export type LimitTable = Map<string, AnnouncedLimit>;
