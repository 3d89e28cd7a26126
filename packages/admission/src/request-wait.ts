import type {RequestStageValue} from './request-stage-value.js';

/** How long a request waited until it was first dispatched, or was refused because it waited. Durations in milliseconds. */
export type RequestWait = {
	readonly team: string;
	readonly className: string;
	readonly target: string;
	readonly stage: RequestStageValue;
	readonly waitedMs: number;
	/** The time that has passed since its latest start; negative if it has not been reached, and undefined for a request without a latency objective. */
	readonly overdueMs: number | undefined;
	/** The share of the requests of its class that were recently dispatched in time. */
	readonly classShare: number;
	/** The number of requests that wait for the same target. */
	readonly waiting: number;
	/**
	 * The dispatches to upstreams of its target while it waited, by class, of the last dispatches that are remembered. Undefined for a request that is
	 * dispatched before its latest start.
	 */
	readonly dispatchedBefore: ReadonlyMap<string, number> | undefined;
};
