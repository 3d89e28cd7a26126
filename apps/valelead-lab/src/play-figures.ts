/** What the callers of one class saw: shares of its requests, and waits for the first event in milliseconds. */
type ClassFigures = {
	readonly requests: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	readonly inVain: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
};

/** The figures of one play. */
export type PlayFigures = {
	/** The part of the credit owed that was earned. */
	readonly credit: number;
	/** What holding requests in vain, and refusing them twice, costs of the credit owed. */
	readonly price: number;
	/** The part of all requests that got no whole answer. */
	readonly unserved: number;
	readonly copyLoads: number;
	readonly storeLoads: number;
	readonly refusedOrders: number;
	/** Engines that crashed under requests, and requests that were kept from engines at the end. */
	readonly crashes: number;
	readonly quarantined: number;
	readonly classes: Readonly<Record<string, ClassFigures>>;
};
