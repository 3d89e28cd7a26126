/** The intervals at which an engine manager polls its engine, in milliseconds. */
export type PollIntervals = {
	/** The interval while the engine is idle and no request waits for it. */
	readonly idleMs: number;
	/** The longest interval while the engine executes an order or requests wait. */
	readonly busyMs: number;
	/** The interval while an order may end at any moment. */
	readonly endingMs: number;
	/** The interval while an adapter is being loaded. */
	readonly adapterMs: number;
	/** The maximum age of a status that may be used for a decision without another poll; the status must also show the last order. */
	readonly maxStatusAgeMs: number;
	/** The minimum time between the starts of two planning rounds. */
	readonly minIntervalMs: number;
};
