/** A process that holds loans, in one session with the leader. */
export type Borrower = {
	/** What it holds, by subject. */
	readonly amounts: Map<string, number>;
	/** When the last of it can be used, in monotonic milliseconds. */
	expiresAt: number;
};
