import {hasQuorum} from './has-quorum.js';
import {isVoting} from './is-voting.js';
import {mutateCandidate} from './mutate-candidate.js';
import {mutateRole} from './mutate-role.js';
import {newVoteRequests} from './new-vote-requests.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/** Starts a pre-vote: asks the other voters if they would grant their votes, without starting a new term. */
export const mutateElection = (state: ConsensusState, settings: ConsensusSettings, now: number, jitter: number): ConsensusEffect[] => {
	state.electionDueAt = now + (settings.electionTimeoutMs * (1 + jitter));
	if (!isVoting(state, state.selfId)) {
		return [];
	}

	mutateRole(state, 'electionTimeout');
	state.leaderId = undefined;
	state.grantedVotes = new Set([state.selfId]);
	if (hasQuorum(state, state.grantedVotes)) {
		mutateRole(state, 'preVoteWon');
		return mutateCandidate(state, settings, now, false);
	}

	return newVoteRequests(state, {isPreVote: true, isTransfer: false});
};
