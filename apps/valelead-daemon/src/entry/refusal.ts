import type {OutcomeValue, ResultCodeValue} from '@valelead/common';

/** The error response to a request that gets no complete response from an upstream. */
export type Refusal = {
	readonly code: ResultCodeValue;
	readonly message: string;
	readonly outcome: OutcomeValue;
	/** The time after which the caller should retry, in milliseconds. 0 if a retry would not help. */
	readonly retryAfterMs: number;
};
