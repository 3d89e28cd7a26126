import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionLane} from './admission-lane.js';
import type {RecentDispatch} from './recent-dispatch.js';
import type {RequestRecord} from './request-record.js';
import type {ResponseTimes} from './response-times.js';
import type {RetryBudget} from './retry-budget.js';
import type {ClassService} from './class-service.js';
import type {DispatchInterval} from './dispatch-interval.js';
import type {TeamUsage} from './team-usage.js';

/** The state of an entry's admission: its requests, queues, upstreams and retry budgets. Times are monotonic milliseconds. */
export type AdmissionState = {
	readonly requests: Map<string, RequestRecord>;
	/** The waiting requests by target. */
	readonly queues: Map<string, RequestRecord[]>;
	readonly teams: Map<string, TeamUsage>;
	/** The number of waiting requests by class. */
	readonly classWaiting: Map<string, number>;
	/** The state kept about each VM, by VM. */
	readonly lanes: Map<string, AdmissionLane>;
	/** The VMs that can serve each target, by target. */
	endpoints: ReadonlyMap<string, readonly AdmissionEndpoint[]>;
	readonly dispatchIntervals: Map<string, DispatchInterval>;
	/** The number of requests that arrived since the last report, by target. */
	readonly arrivals: Map<string, number>;
	/** The measured times of responses, by request class. */
	readonly responseTimes: Map<string, ResponseTimes>;
	/** The share of requests that were recently dispatched in time, by request class; empty unless requests are ordered by their latest start. */
	readonly classServices: Map<string, ClassService>;
	/** The last dispatches, oldest first; empty unless requests are ordered by their latest start. */
	readonly recentDispatches: RecentDispatch[];
	/** The time at which requests still in progress are aborted; undefined until the entry is told to stop. */
	endsAt: number | undefined;
	/** The minimum Retry-After time of a refusal, in milliseconds. */
	readonly minRetryAfterMs: number;
	/** The retry budgets by name. */
	readonly retryBudgets: Map<string, RetryBudget>;
	/** The waiting requests whose retry is charged, by the name of their retry budget. */
	readonly waitingRetries: Map<string, number>;
	/** The virtual time of weighted fair queueing: the service, divided by weight, that the least served waiting team has received. */
	virtualTime: number;
	/** The earliest deadline of a request whose response has not begun; infinite if there is none. */
	nextDeadlineAt: number;
};
