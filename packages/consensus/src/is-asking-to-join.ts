import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';

/**
 * Election timeouts without a word from a leader after which a voter may have been let go; an election that isn't split
 * takes fewer, so a quorum that only changes its leader isn't asked.
 */
const NO_LEADER_ELECTION_TIMEOUTS = 3;

/**
 * Whether a voter asks to be let into the quorum: it has no vote, or may have none any more. Its own log doesn't tell a voter that it was let go, as that entry
 * is sent to those that stay; but no leader writes to it any more. A leader that still counts it says so and changes nothing.
 */
export const isAskingToJoin = (state: ConsensusState, settings: ConsensusSettings, now: number): boolean => {
	const own = state.voters.find(voter => voter.id === state.selfId);
	const isWithoutLeader = state.role !== 'leader' && now - state.leaderContactAt > NO_LEADER_ELECTION_TIMEOUTS * settings.electionTimeoutMs;
	return !own || own.isLearner || isWithoutLeader;
};
