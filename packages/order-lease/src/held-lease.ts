/** A lease as its holder tells it. */
export type HeldLease = {
	/** The engine's address. */
	readonly address: string;
	readonly fence: number;
	/** Until its holder may give its first order, in milliseconds; 0 once it may. */
	readonly startsInMs: number;
};
