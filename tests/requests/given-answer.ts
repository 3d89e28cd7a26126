import type {OutcomeValue, ResultCodeValue} from '@valelead/common';

/** What a caller was told, once. */
export type GivenAnswer = {
	readonly requestId: string;
	readonly at: number;
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	/** Whose request the answer belongs to; empty for a refusal. */
	readonly content: string;
};
