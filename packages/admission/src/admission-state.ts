import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionLane} from './admission-lane.js';
import type {RequestRecord} from './request-record.js';
import type {RetryBudget} from './retry-budget.js';
import type {DispatchInterval} from './dispatch-interval.js';
import type {TeamUsage} from './team-usage.js';

/** The state of an entry's queues. */
export type AdmissionState = {
	readonly requests: Map<string, RequestRecord>;
	/** Waiting requests by target. */
	readonly queues: Map<string, RequestRecord[]>;
	readonly teams: Map<string, TeamUsage>;
	readonly classWaiting: Map<string, number>;
	readonly lanes: Map<string, AdmissionLane>;
	endpoints: ReadonlyMap<string, readonly AdmissionEndpoint[]>;
	readonly dispatchIntervals: Map<string, DispatchInterval>;
	/** Arrivals by target since they were last reported. */
	readonly arrivals: Map<string, number>;
	/** When what is still in progress is broken off; undefined until the entry is told to stop. */
	endsAt: number | undefined;
	/** The least time after which a refused caller is asked back, in milliseconds. */
	readonly minRetryAfterMs: number;
	/** By name. */
	readonly retryBudgets: Map<string, RetryBudget>;
	/** The service that the least served waiting team has received. */
	virtualTime: number;
	nextDeadlineAt: number;
};
