import type {StreamOrigin} from '@valelead/stream-origin';

/** A unit (a model or an adapter) that a waiting request, or the expected retry of a refused one, needs loaded. Times are monotonic milliseconds. */
export type Demand = {
	readonly service: string;
	/** The target under which the request is admitted; unique over all services. */
	readonly target: string;
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** Where the stream began that the request continues; undefined if any upstream of the service may serve the request. */
	readonly origin: StreamOrigin | undefined;
	/** Weight of the request when loads are prioritised, by its request class. */
	readonly weight: number;
	/** When the request exceeds its latency objective. */
	readonly dueAt: number;
	/** When the caller gives up or the deadline of the request passes, whichever comes first. */
	readonly leavesAt: number;
	/** When the deadline of the request passes. */
	readonly deadlineAt: number;
	/** Time that the caller waits for the first event before it gives up, in milliseconds. */
	readonly patienceMs: number;
};
