/** A gateway's knowledge of the rate limit of one upstream. Times are monotonic milliseconds of the gateway. */
export type RateLimitEntry = {
	/** The limit in force, in requests per second from all gateways together. */
	perSecond: number;
	/** When the gateway learned that the upstream has a limit. */
	readonly knownAt: number;
	/** The limit in the last response of the upstream, or the leader's value before any response; undefined if the response stated no limit. */
	observedPerSecond: number | undefined;
	observedAt: number;
	/** When the last observed limit was reported to the leader; undefined if the leader may not know it. */
	lastReportedAt: number | undefined;
};
