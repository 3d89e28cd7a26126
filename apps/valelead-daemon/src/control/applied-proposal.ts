import type {Proposal} from '@valelead/intent';

/** A proposal that changed the configuration. */
export type AppliedProposal = {
	readonly revision: number;
	/** The leader's wall time in milliseconds. */
	readonly at: number;
	readonly proposal: Proposal;
};
