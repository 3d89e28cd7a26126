import type {Claim} from './claim.js';

/** The result of a claim command. */
export type ClaimResult =
	| {readonly kind: 'claimed'}
	| {readonly kind: 'running'; readonly claim: Claim; /** True if the deadline of the request that holds the claim has passed. */ readonly isOverdue: boolean}
	| {readonly kind: 'settled'; readonly claim: Claim}
	| {readonly kind: 'mismatch'}
	| {readonly kind: 'lost'};
