import type {Voter} from './voter.js';

/** What a voter with an empty disk has to do. */
export type FormationDecision =
	/** Look again, and tell the others the ids of the voters that it would form a quorum with; none while some controller was not reached. */
	| {readonly kind: 'wait'; readonly proposal: readonly string[]}
	| {readonly kind: 'form'; readonly voters: readonly Voter[]}
	| {readonly kind: 'join'};
