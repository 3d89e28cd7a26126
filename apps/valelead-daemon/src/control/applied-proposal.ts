import type {Proposal} from '@valelead/intent';

/** A committed proposal that changed the configuration. */
export type AppliedProposal = {
	/** The revision of the configuration after the proposal. */
	readonly revision: number;
	/** Wall-clock time at which the leader proposed it, in milliseconds since the epoch. */
	readonly at: number;
	readonly proposal: Proposal;
};
