/** The cost of keeping a unit loaded, and the cost of one cold start for its callers. */
export type KeepLoadedCosts = {
	/** Cost of keeping the unit loaded without work for one millisecond. */
	readonly idleCostPerMs: number;
	/** Cost of one cold start. */
	readonly coldStartCost: number;
};
