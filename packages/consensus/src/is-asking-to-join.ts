import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/**
 * Number of election timeouts without a message from a leader after which a voter assumes that it may have been removed. An election without a
 * split vote takes fewer, so that a mere change of the leader causes no join requests.
 */
const NO_LEADER_ELECTION_TIMEOUTS = 3;

/**
 * True if a voter should ask the leader to admit it, because it has no vote or may have lost it. A voter cannot see its removal in its own log,
 * because the leader sends that entry only to the remaining members; but it gets no messages from a leader any more. A leader that still counts the
 * voter confirms its membership and changes nothing.
 */
export const isAskingToJoin = (state: ConsensusState, settings: ConsensusSettings, now: number): boolean => {
	const own = state.voters.find(voter => voter.id === state.selfId);
	const isWithoutLeader = state.role !== 'leader' && now - state.leaderContactAt > NO_LEADER_ELECTION_TIMEOUTS * settings.electionTimeoutMs;
	return !own || own.isLearner || isWithoutLeader;
};
