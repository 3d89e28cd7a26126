import type {ConsensusState} from './consensus-state.js';

/**
 * True if a leader has fewer voters than the minimum and further ones may be about to join, because the last member was added, or the leader's term
 * began, less than the given time ago.
 * @param minVoters - The minimum number of voters.
 * @param joinWindowMs - Time in milliseconds within which a further voter is expected after the last one.
 */
export const isExpectingVoters = (state: ConsensusState, minVoters: number, joinWindowMs: number, now: number): boolean => {
	const count = state.voters.filter(voter => !voter.isLearner).length;
	// A configuration counts only once it is committed, that is, synced by a majority of its voters.
	const isMinReached = count >= minVoters && state.votersIndex <= state.commitIndex;
	const joinedAt = Math.max(state.leaderSince, ...[...state.peers.values()].map(progress => progress.joinedAt));
	return state.role === 'leader' && !isMinReached && now - joinedAt < joinWindowMs;
};
