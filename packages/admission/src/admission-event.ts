import type {OutcomeValue, ResultCodeValue} from '@valelead/common';
import type {AdmissionEndpoint} from './admission-endpoint.js';
import type {Ticket} from './ticket.js';
import type {RequestLimits} from './request-limits.js';

/** What an entry's admission reacts to. */
export type AdmissionEvent =
	| {readonly kind: 'arrive'; readonly ticket: Ticket; readonly limits: RequestLimits}
	| {readonly kind: 'abandon'; readonly requestId: string}
	/** A waiting request is given up on. */
	| {readonly kind: 'giveUp'; readonly requestId: string; readonly code: ResultCodeValue; readonly retryAfterMs: number}
	/** The entry is told to stop: what is in progress at `endsAt`, in monotonic milliseconds, is broken off. */
	| {readonly kind: 'stop'; readonly endsAt: number}
	| {readonly kind: 'refuseAll'; readonly code: ResultCodeValue}
	| {readonly kind: 'credits'; readonly vm: string; readonly creditIds: readonly string[]; readonly validForMs: number}
	| {readonly kind: 'laneClosed'; readonly vm: string}
	| {readonly kind: 'endpoints'; readonly endpoints: ReadonlyMap<string, readonly AdmissionEndpoint[]>}
	| {readonly kind: 'started'; readonly requestId: string; readonly attemptId: string}
	| {readonly kind: 'finished'; readonly requestId: string; readonly attemptId: string}
	| {
		readonly kind: 'failed';
		readonly requestId: string;
		readonly attemptId: string;
		readonly code: ResultCodeValue;
		readonly outcome: OutcomeValue;
		/** Uniform in [0, 1). */
		readonly jitter: number;
		/** Another upstream must not be risked with the request; left out where it may. */
		readonly isLast?: boolean;
	}
	| {readonly kind: 'tick'};
