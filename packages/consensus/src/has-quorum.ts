import type {ConsensusState} from './consensus-state.js';

/** True if the given members are a majority of the voters. */
export const hasQuorum = (state: ConsensusState, members: ReadonlySet<string>): boolean => {
	const voting = state.voters.filter(voter => !voter.isLearner);
	const count = voting.filter(voter => members.has(voter.id)).length;
	return count * 2 > voting.length;
};
