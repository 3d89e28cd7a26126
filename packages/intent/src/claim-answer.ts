import type {OutcomeValue} from '@valelead/common';

/** How a claimed request ended. */
export type ClaimAnswer = {
	readonly outcome: OutcomeValue;
	readonly status: number;
	readonly contentType: string;
	/** Base64; undefined where the answer was too large to keep. */
	readonly body?: string;
};
