import type {OutcomeValue, ResultCodeValue} from '@valelead/common';

/** The final answer of a request that gets none from an upstream. */
export type Refusal = {
	readonly code: ResultCodeValue;
	readonly message: string;
	readonly outcome: OutcomeValue;
	/** When the caller should come back, in milliseconds; 0 where that would not help. */
	readonly retryAfterMs: number;
};
