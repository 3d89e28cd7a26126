import type {ConsensusState} from './consensus-state.js';
import type {Voter} from './voter.js';

const isSilent = (state: ConsensusState, voter: Voter, silenceMs: number, now: number): boolean => {
	const progress = state.peers.get(voter.id);
	if (voter.id === state.selfId || !progress) {
		return false;
	}

	// A member that has just joined has not been silent for as long as the leader leads.
	return now - Math.max(progress.ackedSentAt, progress.joinedAt, state.leaderSince) > silenceMs;
};

/**
 * The voters without one that was silent for too long, where that lets fewer voters form a majority: an even number
 * of voters bears no more losses than one voter less. A voter that comes back joins again. Undefined where all stay.
 * @param leastVoters - 2f + 1 for f losses that must be borne: what is left must still bear the losses that the settings
 * state, as the voter that was let go may stay away for good.
 */
export const getReducedVoters = (state: ConsensusState, silenceMs: number, now: number, leastVoters: number): readonly Voter[] | undefined => {
	const silent = state.voters.filter(voter => isSilent(state, voter, silenceMs, now));
	const learner = silent.find(voter => voter.isLearner);
	const count = state.voters.filter(voter => !voter.isLearner).length;
	const isRemovalSafe = count > leastVoters && count % 2 === 0;
	const removed = learner ?? (isRemovalSafe ? silent[0] : undefined);
	return removed && state.voters.filter(voter => voter.id !== removed.id);
};
