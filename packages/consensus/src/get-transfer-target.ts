import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';
import type {Voter} from './voter.js';

/**
 * Returns the voter with the most up-to-date log among those that replied to a message sent within the last election timeout; a voter that has
 * failed since may have as many entries. Returns undefined if none replied: a transfer would then only leave the quorum without a leader sooner.
 */
export const getTransferTarget = (state: ConsensusState, settings: ConsensusSettings, now: number): Voter | undefined => {
	const isReachable = ({id}: Voter): boolean => now - (state.peers.get(id)?.ackedSentAt ?? Number.NEGATIVE_INFINITY) <= settings.electionTimeoutMs;
	const getMatch = ({id}: Voter): number => state.peers.get(id)?.matchIndex ?? 0;
	const followers = state.voters.filter(voter => !voter.isLearner && voter.id !== state.selfId && isReachable(voter));
	return followers.sort((left, right) => getMatch(right) - getMatch(left))[0];
};
