import type {AdmissionRequest} from './admission-request.js';
import type {RequestLimits} from './request-limits.js';

/** The state of one request from its arrival to its end. */
export type RequestRecord = {
	/** Replaced if the request is queued again under another target. */
	request: AdmissionRequest;
	readonly limits: RequestLimits;
	/** The state in the state chart `charts/request.chart.json`. */
	state: string;
	/** The number of dispatches so far. */
	attempts: number;
	/** The number of attempts among them that could not be started. */
	unstartedAttempts: number;
	/** The id of the current or last attempt; empty before the first one. */
	attemptId: string;
	/** The VM of the current or last attempt; empty before the first one. */
	vm: string;
	/** The VMs that earlier attempts reached, whether or not the request ran there. */
	readonly reachedVms: Set<string>;
	/** Until when the request is not sent to an upstream that it has reached, in monotonic milliseconds. */
	pausedUntil: number;
	/** The number of earlier attempts that may have run. */
	runs: number;
	/** True if a retry was charged to the retry budget and has not reached an upstream yet. */
	isRetryCharged: boolean;
	/** True once the request was counted for the service that its class receives (`mutateClassService`). */
	isCounted: boolean;
	/** The time of the last dispatch, in monotonic milliseconds. */
	dispatchedAt: number;
};
