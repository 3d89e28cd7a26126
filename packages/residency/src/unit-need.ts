import type {Wait} from './wait.js';

/** The demand of requests for a unit (a model, or an adapter of a model) on one engine. */
export type UnitNeed = {
	readonly model: string;
	/** Name of the adapter; empty if the unit is the model itself. */
	readonly adapter: string;
	/** The number of requests that wait for the unit to be loaded. */
	readonly waiting: number;
	/** The number of requests that the engine is processing with the unit. */
	readonly inProgress: number;
	/** The waiting requests, grouped by the times at which they are due and their callers leave. */
	readonly waits: readonly Wait[];
	/** True if the load is also ordered by what its requests lose by waiting for one more load; false or absent from older gateways. */
	readonly isUrgencyOrdered?: boolean;
};
