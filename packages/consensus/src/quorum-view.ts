import type {Voter} from './voter.js';

/** The state of a quorum as one of its voters sees it. */
export type QuorumView = {
	/** All members that have a vote. */
	readonly voters: readonly Voter[];
	/** The voters from which a message was received recently, and this voter itself. */
	readonly reachable: readonly Voter[];
	readonly term: number;
	readonly leader: Voter | undefined;
	readonly isLeader: boolean;
};
