import type {StoredResponse} from './stored-response.js';

/** A command on the claims: `claim` requests the right to run a request; `settle` stores its result, or frees the claim if it did not run. */
export type ClaimCommand =
	| {readonly kind: 'claim'; readonly team: string; readonly key: string; readonly requestHash: string; readonly lifetimeMs: number; readonly owner: string}
	| {readonly kind: 'settle'; readonly team: string; readonly key: string; readonly owner: string; readonly answer: StoredResponse};
