import type {Prompt} from './prompt.js';

/** The fields of a request that admission decides on. Times are monotonic milliseconds. */
export type AdmissionRequest = {
	readonly requestId: string;
	readonly team: string;
	readonly teamWeight: number;
	/** The priority rank, which takes precedence over all other ordering; 0 is the most urgent and the default. */
	readonly rank?: number;
	readonly className: string;
	readonly classWeight: number;
	/** The key of the unit that the request needs, or the target of a service without models (`getServiceTarget`). */
	readonly target: string;
	readonly arrivedAt: number;
	readonly deadlineAt: number;
	/** When the request misses its latency objective; absent if it has none. */
	readonly dueAt?: number;
	/** When the caller leaves if no response has begun, or the deadline if that is earlier; absent if it is not known. */
	readonly leavesAt?: number;
	/** True if the request may be dispatched again after an attempt that may have run. */
	readonly isRepeatable: boolean;
	/** True if a stream that has begun may be resumed on another upstream. */
	readonly isResumable?: boolean;
	/** The maximum number of attempts that may have run; absent for no such limit. */
	readonly maxRuns?: number;
	/** The maximum number of dispatches; absent for the limit in the entry's settings. */
	readonly maxAttempts?: number;
	/** The maximum number of different upstreams that the request may reach; absent for no such limit. */
	readonly maxUpstreams?: number;
	/** The size of the prompt; absent for requests to services without models, and if the caller states no size. */
	readonly prompt?: Prompt;
	/** The name of the retry budget, which all requests with the same name share. */
	readonly retryBudget?: string;
};
