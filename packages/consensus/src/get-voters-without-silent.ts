import type {ConsensusState} from './consensus-state.js';
import type {Voter} from './voter.js';

/** Time that the previous leader has to reply to the new one before it may count as silent, as a share of the time for other voters. */
const PREVIOUS_LEADER_REPLY_SHARE = 0.25;

const isSilent = (state: ConsensusState, voter: Voter, silenceMs: number, now: number): boolean => {
	const progress = state.peers.get(voter.id);
	if (voter.id === state.selfId || !progress) {
		return false;
	}

	// The silence of a new member counts from its joining, not from the start of the leader's term.
	const silentSince = Math.max(progress.ackedSentAt, progress.joinedAt, state.leaderSince);
	if (voter.id !== state.contactedLeaderId || progress.joinedAt > state.leaderSince) {
		return now - silentSince > silenceMs;
	}

	// This voter heard the previous leader until its silence caused the election. It still gets time to reply to the new leader.
	return now - state.leaderContactAt > silenceMs && now - silentSince > silenceMs * PREVIOUS_LEADER_REPLY_SHARE;
};

/**
 * Returns the voters without one that has been silent for too long, or undefined if none should be removed. A silent learner is always removed. A
 * voter is removed only while there are more than the minimum, and only from an even number of voters: it tolerates no more failures than one voter
 * less, but needs a larger majority. A removed voter that returns joins again.
 * @param silenceMs - Time in milliseconds after which a member without a reply counts as silent.
 * @param minVoters - 2f + 1 for the f failures that the settings require the quorum to tolerate. The remaining voters must still tolerate them,
 * because the removed voter may never return.
 */
export const getVotersWithoutSilent = (state: ConsensusState, silenceMs: number, now: number, minVoters: number): readonly Voter[] | undefined => {
	const silent = state.voters.filter(voter => isSilent(state, voter, silenceMs, now));
	const learner = silent.find(voter => voter.isLearner);
	const count = state.voters.filter(voter => !voter.isLearner).length;
	const isRemovalSafe = count > minVoters && count % 2 === 0;
	const removed = learner ?? (isRemovalSafe ? silent[0] : undefined);
	return removed && state.voters.filter(voter => voter.id !== removed.id);
};
