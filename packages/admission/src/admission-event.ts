import type {OutcomeValue, ResultCodeValue} from '@valelead/common';
import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {AdmissionRequest} from './admission-request.js';
import type {RequestLimits} from './request-limits.js';

/** An event that admission reacts to. */
export type AdmissionEvent =
	/** A request has arrived. */
	| {readonly kind: 'arrive'; readonly request: AdmissionRequest; readonly limits: RequestLimits}
	/** The caller of a request has disconnected. */
	| {readonly kind: 'abandon'; readonly requestId: string}
	/** The entry refuses a waiting request, for example because its model would load too late. */
	| {readonly kind: 'giveUp'; readonly requestId: string; readonly code: ResultCodeValue; readonly retryAfterMs: number}
	/** The entry was told to stop. It aborts the requests that are still in progress at `endsAt`, in monotonic milliseconds. */
	| {readonly kind: 'stop'; readonly endsAt: number}
	/** The entry refuses all waiting requests. */
	| {readonly kind: 'refuseAll'; readonly code: ResultCodeValue}
	/** An agent has granted credits; each of them permits one dispatch. */
	| {readonly kind: 'credits'; readonly vm: string; readonly creditIds: readonly string[]; readonly validForMs: number}
	/** The stream on which an agent grants credits has closed, so that its unused credits are void. */
	| {readonly kind: 'laneClosed'; readonly vm: string}
	/** The VMs that can serve each target have changed. */
	| {readonly kind: 'endpoints'; readonly endpoints: ReadonlyMap<string, readonly AdmissionEndpoint[]>}
	/** The response to an attempt has begun. */
	| {readonly kind: 'started'; readonly requestId: string; readonly attemptId: string}
	/** The response to an attempt is complete. */
	| {readonly kind: 'finished'; readonly requestId: string; readonly attemptId: string}
	/** An attempt has ended without a complete response. */
	| {
		readonly kind: 'failed';
		readonly requestId: string;
		readonly attemptId: string;
		readonly code: ResultCodeValue;
		readonly outcome: OutcomeValue;
		/** A random number, uniformly distributed in [0, 1), that varies the ejection time of the upstream. */
		readonly jitter: number;
		/** True if the request must not be sent to another upstream, as it may crash that one too; absent if it may be sent. */
		readonly isLast?: boolean;
		/** The target under which the request is queued again, if it differs: fewer upstreams may continue a stream than may begin it. */
		readonly target?: string;
	}
	/** Time has passed. */
	| {readonly kind: 'tick'};
