import {getLastIndex} from './get-last-index.js';
import {getTermAt} from './get-term-at.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusState} from './consensus-state.js';

type Election = {
	readonly isPreVote: boolean;
	readonly isTransfer: boolean;
};

/** Returns a vote request, or a pre-vote request, for each other voter. */
export const newVoteRequests = (state: ConsensusState, election: Election): ConsensusEffect[] => state.voters
	.filter(voter => voter.id !== state.selfId && !voter.isLearner)
	.map(voter => ({
		kind: 'send',
		to: voter.id,
		message: {
			kind: 'voteRequest',
			term: election.isPreVote ? state.term + 1 : state.term,
			isPreVote: election.isPreVote,
			lastIndex: getLastIndex(state),
			lastTerm: getTermAt(state, getLastIndex(state)) ?? 0,
			isTransfer: election.isTransfer,
		},
	}));
