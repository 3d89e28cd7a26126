import type {Voter} from './voter.js';

/**
 * Returns the next configuration on the way to admitting a member, or undefined if no change is needed. Each step changes at most one vote: the new
 * member is added as a learner; once it has caught up, an old identity on the same VM is removed; then the new member gets its vote. The old
 * identity is removed before the new one votes because it has failed: if the new one voted first, a majority of the enlarged quorum would need the
 * new member itself, and the quorum would tolerate fewer sets of failed voters.
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
