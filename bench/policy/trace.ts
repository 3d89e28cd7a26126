/** One request of a trace. */
export type TraceRequest = {
	/** Milliseconds from the start of the trace. */
	readonly at: number;
	readonly unit: string;
	readonly team: string;
	readonly className: string;
	/** Time that it occupies one place of an engine, in milliseconds. */
	readonly serviceMs: number;
};

/** What a policy is measured on. */
export type Trace = {
	readonly name: string;
	readonly durationMs: number;
	readonly requests: readonly TraceRequest[];
	/** A VM that goes away, and comes back empty after ten minutes. */
	readonly reclaimedAt?: number;
	/** By how much the weight store is slowed in the middle third. */
	readonly storeSlowdown: number;
};
