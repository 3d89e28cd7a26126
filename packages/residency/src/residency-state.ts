/** Monotonic times in milliseconds. */
type WaitPeriod = {
	readonly since: number;
	readonly lastAt: number;
};

/** What the choice of loads and of what makes way remembers. */
export type ResidencyState = {
	/** When each unit was last needed, in monotonic milliseconds. */
	readonly lastUsedAt: Map<string, number>;
	/** What loads from copies counted on the average at `at`, in weights of requests in time for each millisecond. */
	copyLoads: {readonly rate: number; readonly at: number};
	/** Since when requests wait for each model without a longer break, and when they did last. */
	readonly modelWaits: Map<string, WaitPeriod>;
};
