/** The totals of teams' dispatches that were sent in a session. */
export type SentTotals = {
	/** The leader's term of the totals; -1 before the first ones. */
	term: number;
	/** The totals by team. */
	readonly counts: Map<string, number>;
};
