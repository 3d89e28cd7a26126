/** What holding a unit costs, and what one cold start would cost its callers. */
export type KeepCosts = {
	/** Cost of holding the unit for one millisecond without work. */
	readonly idlePerMs: number;
	/** Cost of one cold start. */
	readonly coldStart: number;
};
