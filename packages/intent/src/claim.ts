import type {ClaimAnswer} from './claim-answer.js';

/** The right to run a request that must not run twice, and its answer once it is known. */
export type Claim = {
	readonly team: string;
	readonly key: string;
	/** SHA-256 over route and body, so that a key is not reused for another request. */
	readonly requestHash: string;
	/** Leader's wall time in milliseconds at which the request's time has run out. */
	readonly deadlineAt: number;
	/** The attempt that holds the claim; only it may settle. */
	readonly owner: string;
	readonly answer: ClaimAnswer | undefined;
};
