import type {StoredResponse} from './stored-response.js';

/** The exclusive right to run a request that must not run twice, and the response of the request once it is known. */
export type Claim = {
	readonly team: string;
	readonly key: string;
	/** SHA-256 over route and body, to detect that a key is reused for a different request. */
	readonly requestHash: string;
	/** Deadline of the request by the leader's wall clock, in Unix milliseconds. */
	readonly deadlineAt: number;
	/** The id of the attempt that holds the claim. Only this attempt may settle the claim. */
	readonly owner: string;
	readonly answer: StoredResponse | undefined;
};
