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
