import type {ConsensusState} from './consensus-state.js';

/** Whether a leader's voters are fewer than the least number, and others may be about to join: the last one did lately, or nobody has had the time yet. */
export const isGrowing = (state: ConsensusState, leastVoters: number, growthMs: number, now: number): boolean => {
	const count = state.voters.filter(voter => !voter.isLearner).length;
	// Voters count from when a majority of them has synced that they are.
	const isMinReached = count >= leastVoters && state.votersIndex <= state.commitIndex;
	const joinedAt = Math.max(state.leaderSince, ...[...state.peers.values()].map(progress => progress.joinedAt));
	return state.role === 'leader' && !isMinReached && now - joinedAt < growthMs;
};
