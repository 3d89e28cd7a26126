/** The right to give one engine its orders, as the leader grants it. Times are the leader's monotonic milliseconds. */
export type OrderLease = {
	/** The engine's address. */
	readonly address: string;
	/** The VM that holds the lease. */
	readonly vm: string;
	/** Higher with each new holder of the engine, over all leaders. */
	readonly fence: number;
	/** When the holder may give its first order. */
	readonly startsAt: number;
	/** When the holder was heard last; it counts its own time from no later. */
	readonly renewedAt: number;
};
