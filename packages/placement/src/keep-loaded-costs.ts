/** What holding a unit costs, and what one cold start would cost its callers. */
export type KeepLoadedCosts = {
	/** Cost of holding the unit for one millisecond without work. */
	readonly idleCostPerMs: number;
	/** Cost of one cold start. */
	readonly coldStartCost: number;
};
