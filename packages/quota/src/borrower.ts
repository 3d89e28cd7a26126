/** A process that has borrowed units, in one session with the leader. */
export type Borrower = {
	/** Units that the process has borrowed and not yet reported as used or returned, by subject. */
	readonly amounts: Map<string, number>;
	/** When all loans of the process have expired, in monotonic milliseconds. */
	expiresAt: number;
};
