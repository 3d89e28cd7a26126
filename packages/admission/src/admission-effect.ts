import type {OutcomeValue, ResultCodeValue} from '@valelead/common';

/** What an entry's admission wants done. */
export type AdmissionEffect =
	| {readonly kind: 'dispatch'; readonly requestId: string; readonly attemptId: string; readonly vm: string; readonly creditId: string; readonly remainingMs: number}
	/** The one final answer of a request that gets no answer from an upstream. */
	| {readonly kind: 'refuse'; readonly requestId: string; readonly code: ResultCodeValue; readonly outcome: OutcomeValue; readonly retryAfterMs: number}
	/** Whether the retry budget lets a request that failed be sent again, and the retries that the budget has left. */
	| {readonly kind: 'retry'; readonly requestId: string; readonly isAllowed: boolean; readonly left: number}
	| {readonly kind: 'cancel'; readonly requestId: string; readonly attemptId: string; readonly vm: string}
	| {readonly kind: 'want'; readonly vm: string; readonly wanted: number};
