import type {Voter} from './voter.js';

/** What a voter with an empty disk has to do. */
export type FormationDecision =
	| {readonly kind: 'wait'}
	| {readonly kind: 'form'; readonly voters: readonly Voter[]}
	| {readonly kind: 'join'};
