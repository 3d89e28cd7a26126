/** What a gateway is lent for one upstream while others ask for it too. Times in monotonic milliseconds. */
export type LoanRate = {
	/** Since when the leader has had less than what was asked for; undefined while it has enough. */
	shortSince: number | undefined;
	/** When the leader last answered. */
	answeredAt: number;
	/** Requests that were lent lately. */
	loans: ReadonlyArray<{readonly at: number; readonly amount: number}>;
};
