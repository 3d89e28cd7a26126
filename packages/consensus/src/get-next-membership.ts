import type {Voter} from './voter.js';

/**
 * The next configuration on the way to the wished member, one vote at a time: the old identity on
 * the same VM leaves, the new one joins as a learner, and gets its vote once it has caught up.
 * Undefined where nothing is left to do. The old one leaves first, as it is gone: were the new one to vote
 * before that, a majority of one voter more would need the new one itself, and fewer sets of losses would be borne.
 */
export const getNextMembership = (voters: readonly Voter[], wished: Voter, isCaughtUp: boolean): readonly Voter[] | undefined => {
	const known = voters.find(voter => voter.id === wished.id);
	if (!known) {
		return [...voters, {...wished, isLearner: true}];
	}

	const replaced = voters.find(voter => voter.vm === wished.vm && voter.id !== wished.id);
	if (replaced && isCaughtUp) {
		return voters.filter(voter => voter.id !== replaced.id);
	}

	if (known.isLearner && isCaughtUp) {
		return voters.map(voter => voter.id === wished.id ? {...wished, isLearner: false} : voter);
	}

	return undefined;
};
