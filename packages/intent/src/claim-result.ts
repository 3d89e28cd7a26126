import type {Claim} from './claim.js';

/** What a claim command found. */
export type ClaimResult =
	| {readonly kind: 'claimed'}
	| {readonly kind: 'running'; readonly claim: Claim; /** The time of the request that holds the claim has run out. */ readonly isOverdue: boolean}
	| {readonly kind: 'settled'; readonly claim: Claim}
	| {readonly kind: 'mismatch'}
	| {readonly kind: 'lost'};
