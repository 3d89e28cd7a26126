import type {RouteKindValue} from './route-kind-value.js';
import type {TrafficShare} from './traffic-share.js';

/** A route: the services that receive the requests of one host and path prefix, with the limits and latency objectives of these requests. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** The prefix of the URL's path. It begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly kind: RouteKindValue;
	/** True if callers need no API key. */
	readonly isOpen: boolean;
	/** True if a stream that breaks may be resumed on another upstream after its last complete event. */
	readonly isResumable: boolean;
	/** The maximum time from a request's arrival to the end of its response, in milliseconds. */
	readonly timeoutMs: number;
	/** The latency objective: the time within which the response, or the first event of a stream, should arrive, in milliseconds. */
	readonly objectiveMs: number;
	/** The objective for the longest pause between two events of a stream, in milliseconds; 0 if there is none. */
	readonly pauseObjectiveMs: number;
	/** The time after which a caller is expected to disconnect if no response, or no further event of its stream, has arrived, in milliseconds. */
	readonly callerPatienceMs: number;
	/** The priority of the route's requests; 0 is the most urgent. */
	readonly priority: number;
	/** The maximum number of upstreams to which one request is sent. */
	readonly maxAttempts: number;
	/** The services among which the route's requests are divided. */
	readonly shares: readonly TrafficShare[];
};
