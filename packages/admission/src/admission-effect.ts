import type {OutcomeValue, ResultCodeValue} from '@valelead/common';

/** What an entry's admission wants done. */
export type AdmissionEffect =
	| {readonly kind: 'dispatch'; readonly requestId: string; readonly attemptId: string; readonly vm: string; readonly creditId: string; readonly remainingMs: number}
	/** The one final answer of a request that gets no answer from an upstream. */
	| {readonly kind: 'refuse'; readonly requestId: string; readonly code: ResultCodeValue; readonly outcome: OutcomeValue; readonly retryAfterMs: number}
	| {readonly kind: 'cancel'; readonly requestId: string; readonly attemptId: string; readonly vm: string}
	| {readonly kind: 'want'; readonly vm: string; readonly wanted: number};
