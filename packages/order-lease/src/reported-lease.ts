/** A lease as its holder reports it to the leader. */
export type ReportedLease = {
	/** The engine's address. */
	readonly address: string;
	readonly fence: number;
	/** The time until the holder may send its first order, in milliseconds; 0 once it may. */
	readonly startsInMs: number;
};
