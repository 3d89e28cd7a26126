import type {OutcomeValue, ResultCodeValue} from '@valelead/common';
import type {RequestWait} from './request-wait.js';

type Dispatch = {
	readonly kind: 'dispatch';
	readonly requestId: string;
	readonly attemptId: string;
	readonly vm: string;
	readonly creditId: string;
	readonly remainingMs: number;
	/** How the request has waited; undefined unless it is ordered by its latest start, and for a request that was dispatched before. */
	readonly wait?: RequestWait;
};

type Refuse = {
	readonly kind: 'refuse';
	readonly requestId: string;
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	readonly retryAfterMs: number;
	/** How the request has waited, if it is refused because it is ordered by its latest start and cannot be answered before its caller leaves. */
	readonly wait?: RequestWait;
};

/** An action that admission asks its entry to carry out. */
export type AdmissionEffect =
	/** Sends a request to a VM, with a credit of the VM's agent or, for an upstream that is reached directly, with an empty `creditId`. */
	| Dispatch
	/** Refuses a request; this is its only and final response. */
	| Refuse
	/** Reports whether the retry budget allowed a failed request to be sent again, and the number of retries left in the budget. */
	| {readonly kind: 'retry'; readonly requestId: string; readonly isAllowed: boolean; readonly left: number}
	/** Cancels an attempt that has been sent. */
	| {readonly kind: 'cancel'; readonly requestId: string; readonly attemptId: string; readonly vm: string}
	/** Tells an agent how many credits the entry has a use for. */
	| {readonly kind: 'want'; readonly vm: string; readonly wanted: number};
