/**
 * The requests to one rate-limited upstream that the leader lends to this gateway while several gateways compete for them. Times in monotonic
 * milliseconds.
 */
export type LoanRate = {
	/** Since when the leader has lent less than this gateway asked for; undefined while it lends everything. */
	shortSince: number | undefined;
	/** When the leader last replied. */
	answeredAt: number;
	/** The loans of the last `LOAN_RATE_WINDOW_MS`: when each was granted, and for how many requests. */
	loans: ReadonlyArray<{readonly at: number; readonly amount: number}>;
};
