/** What a caller that is refused now is told, and when it is expected to come back. Times in milliseconds from now. */
export type ExpectedReturn = {
	/** The Retry-After time. */
	readonly retryAfterMs: number;
	/** When the caller comes back if it respects that time as far as callers do. */
	readonly returnsInMs: number;
	/** When the returned caller leaves. */
	readonly leavesInMs: number;
	/** True if the load ends before the returned caller leaves. */
	readonly isInTime: boolean;
};
