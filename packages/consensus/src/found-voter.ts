import type {Voter} from './voter.js';

/** What a voter with an empty disk learns of a peer. */
export type FoundVoter = {
	readonly voter: Voter;
	/** False for a controller without a disk, which never has a vote. */
	readonly canVote: boolean;
	/** Whether the peer belongs to a quorum. */
	readonly isFormed: boolean;
	/** While it belongs to none: the ids of the voters that it would form one with. */
	readonly proposal: readonly string[];
	/** The voters of that quorum as far as the peer knows them. */
	readonly formation: readonly Voter[];
};
