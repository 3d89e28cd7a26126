import type {OutcomeValue} from '@valelead/common';

/** The outcome and the HTTP response of a claimed request, stored to be returned for repeated requests. */
export type StoredResponse = {
	readonly outcome: OutcomeValue;
	readonly status: number;
	readonly contentType: string;
	/** The body in Base64; undefined if the body was too large to store. */
	readonly body?: string;
};
