/**
 * The requests to one rate-limited upstream that the leader lends to this gateway while several gateways compete for them. Times in monotonic
 * milliseconds.
 */
export type LoanRate = {
	/** Since when the leader has lent less than this gateway asked for; undefined while it lends everything. */
	shortSince: number | undefined;
	/** When the leader last replied. */
	answeredAt: number;
	/** Numbers of requests that were lent within the window of `LOAN_RATE_WINDOW_MS`. */
	loans: ReadonlyArray<{readonly at: number; readonly amount: number}>;
};
