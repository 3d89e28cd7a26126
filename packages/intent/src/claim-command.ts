import type {ClaimAnswer} from './claim-answer.js';

/** A change of the claims. */
export type ClaimCommand =
	| {readonly kind: 'claim'; readonly team: string; readonly key: string; readonly requestHash: string; readonly lifetimeMs: number; readonly owner: string}
	| {readonly kind: 'settle'; readonly team: string; readonly key: string; readonly owner: string; readonly answer: ClaimAnswer};
