/** The leader's grant of the right to send orders to one engine. Times are the leader's monotonic milliseconds. */
export type OrderLease = {
	/** The engine's address. */
	readonly address: string;
	/** The VM that holds the lease. */
	readonly vm: string;
	/** The fencing token; it increases with each new holder of the engine, across all leaders. */
	readonly fence: number;
	/** When the holder may send its first order. */
	readonly startsAt: number;
	/** When the leader received the holder's last report. The holder counts the validity of the lease from this time or earlier. */
	readonly renewedAt: number;
};
