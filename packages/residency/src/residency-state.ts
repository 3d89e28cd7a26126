/** A period in which requests waited for a model without a longer gap. Monotonic times in milliseconds. */
type WaitPeriod = {
	readonly since: number;
	readonly lastAt: number;
};

/** The usage history of one engine, from which the models to load and to evict are chosen. */
export type ResidencyState = {
	/** The last time at which requests used or waited for each unit, in monotonic milliseconds. */
	readonly lastUsedAt: Map<string, number>;
	/** The exponentially decayed value of loads from copies as of `at`, in request weight served in time per millisecond. */
	copyLoads: {readonly rate: number; readonly at: number};
	/** The current model wait of each model: the time at which it began and the last time at which a request was waiting. */
	readonly modelWaits: Map<string, WaitPeriod>;
};
