/** What a gateway knows of the limit of one upstream. Times in its own monotonic milliseconds. */
export type RateLimitEntry = {
	/** Requests a second from all gateways together. */
	perSecond: number;
	/** Since when it is known here. */
	readonly knownAt: number;
	/** What the last answer said, or the leader before there was one; undefined where the answer named no limit. */
	seenPerSecond: number | undefined;
	seenAt: number;
	/** When the leader was last told what was seen; undefined where it may not know it. */
	toldAt: number | undefined;
};
