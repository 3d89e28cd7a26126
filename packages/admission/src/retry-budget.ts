/** The retries that an entry may send to one service. */
export type RetryBudget = {
	/** Retries that are left. */
	readonly tokens: number;
	/** From when on it has its initial retries, in monotonic milliseconds; at another time it begins anew. */
	readonly opensAt: number;
	readonly isOpened: boolean;
	/** Retries that were charged before it was opened. */
	readonly spent: number;
};
