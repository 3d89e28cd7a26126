import type {Voter} from './voter.js';

/** What one voter knows of its quorum. */
export type QuorumView = {
	/** The members that have a vote. */
	readonly voters: readonly Voter[];
	/** Those among them that were heard lately, this voter included. */
	readonly heard: readonly Voter[];
	readonly term: number;
	readonly leader: Voter | undefined;
	readonly isLeader: boolean;
};
