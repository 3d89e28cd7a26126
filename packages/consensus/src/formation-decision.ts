import type {Voter} from './voter.js';

/** The next step of a voter with an empty disk. */
export type FormationDecision =
	/**
	 * The voter queries all controllers again, and reports to them the ids of the voters with which it would form a quorum. The proposal is empty
	 * if some controller was not reached.
	 */
	| {readonly kind: 'wait'; readonly proposal: readonly string[]}
	/** The voter starts with these voters: as one of a new quorum, or as a known voter of an existing one. */
	| {readonly kind: 'form'; readonly voters: readonly Voter[]}
	/** The voter asks an existing quorum to admit it. */
	| {readonly kind: 'join'};
