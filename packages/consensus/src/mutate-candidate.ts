import {hasQuorum} from './has-quorum.js';
import {mutateLeader} from './mutate-leader.js';
import {mutateRole} from './mutate-role.js';
import {newVoteRequests} from './new-vote-requests.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/** Starts an election: begins a new term, votes for itself and requests the votes of the other voters. */
export const mutateCandidate = (state: ConsensusState, settings: ConsensusSettings, now: number, isTransfer: boolean): ConsensusEffect[] => {
	state.term += 1;
	state.votedFor = state.selfId;
	state.leaderId = undefined;
	state.grantedVotes = new Set([state.selfId]);
	const effects: ConsensusEffect[] = [{kind: 'persistHardState', hardState: {term: state.term, votedFor: state.selfId}}];
	if (hasQuorum(state, state.grantedVotes)) {
		mutateRole(state, 'voteWon');
		return [...effects, ...mutateLeader(state, settings, now)];
	}

	return [...effects, ...newVoteRequests(state, {isPreVote: false, isTransfer})];
};
