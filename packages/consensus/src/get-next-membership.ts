import type {Voter} from './voter.js';

/**
 * The next configuration on the way to the wished member, one vote at a time: the old identity on
 * the same VM leaves, the new one joins as a learner, and gets its vote once it has caught up.
 * Undefined where nothing is left to do. The old one leaves first, as it is gone: were the new one to vote
 * before that, a majority of one voter more would need the new one itself, and fewer sets of losses would be borne.
 */
export const getNextMembership = (voters: readonly Voter[], joining: Voter, isCaughtUp: boolean): readonly Voter[] | undefined => {
	const current = voters.find(voter => voter.id === joining.id);
	if (!current) {
		return [...voters, {...joining, isLearner: true}];
	}

	const replaced = voters.find(voter => voter.vm === joining.vm && voter.id !== joining.id);
	if (replaced && isCaughtUp) {
		return voters.filter(voter => voter.id !== replaced.id);
	}

	if (current.isLearner && isCaughtUp) {
		return voters.map(voter => voter.id === joining.id ? {...joining, isLearner: false} : voter);
	}

	return undefined;
};
