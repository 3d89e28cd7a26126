import {hasQuorum} from './has-quorum.js';
import {mutateCandidate} from './mutate-candidate.js';
import {mutateFollower} from './mutate-follower.js';
import {mutateLeader} from './mutate-leader.js';
import {mutateRole} from './mutate-role.js';
import type {ConsensusEffect} from './consensus-effect.js';
import type {ConsensusMessage} from './consensus-message.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

type VoteReply = Extract<ConsensusMessage, {kind: 'voteReply'}>;

/** Handles a reply to a vote request, and continues the election once a majority has granted its votes. */
export const mutateVoteReply = (state: ConsensusState, settings: ConsensusSettings, now: number, from: string, reply: VoteReply): ConsensusEffect[] => {
	if (!reply.isGranted) {
		return reply.term > state.term ? mutateFollower(state, 'higherTerm', reply.term) : [];
	}

	const isForPreVote = reply.isPreVote && state.role === 'preCandidate' && reply.term === state.term + 1;
	const isForVote = !reply.isPreVote && state.role === 'candidate' && reply.term === state.term;
	if (!isForPreVote && !isForVote) {
		return [];
	}

	state.grantedVotes.add(from);
	if (!hasQuorum(state, state.grantedVotes)) {
		return [];
	}

	if (isForPreVote) {
		mutateRole(state, 'preVoteWon');
		return mutateCandidate(state, settings, now, false);
	}

	mutateRole(state, 'voteWon');
	return mutateLeader(state, settings, now);
};
