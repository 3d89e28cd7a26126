/** How often an engine is asked for its state, in milliseconds. */
export type PollIntervals = {
	/** While nothing is to be done. */
	readonly idleMs: number;
	/** While an order is carried out or something waits. */
	readonly busyMs: number;
	/** When the order may end at any moment. */
	readonly endingMs: number;
	/** While an adapter loads. */
	readonly adapterMs: number;
	/** A state that was told this long ago, and that the last order shows in, is decided on without asking anew. */
	readonly maxStatusAgeMs: number;
	/** The least time between two decisions. */
	readonly minIntervalMs: number;
};
