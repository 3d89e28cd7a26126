import type {TraceRequest} from './trace-request.js';

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
