/** What is lent of one subject's quota. */
export type Loan = {
	readonly subject: string;
	/** Units. */
	readonly amount: number;
	/** Until there is enough for the first request that waits and got none, in milliseconds; 0 where all got theirs. */
	readonly waitMs: number;
};
