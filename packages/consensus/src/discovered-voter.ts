import type {Voter} from './voter.js';

/** The answer of a controller to a voter with an empty disk that looks for a quorum. */
export type DiscoveredVoter = {
	readonly voter: Voter;
	/** False if the controller has no disk; such a controller never has a vote. */
	readonly canVote: boolean;
	/** True if the settings of the first start of the installation named the peer, and it has kept its disk since. */
	readonly isFounder: boolean;
	/** True if the peer belongs to a quorum. */
	readonly isFormed: boolean;
	/** Ids of the voters with which the peer would form a quorum, as long as it belongs to none. */
	readonly proposal: readonly string[];
	/** The voters of the peer's quorum, as far as the peer knows them. */
	readonly formation: readonly Voter[];
};
