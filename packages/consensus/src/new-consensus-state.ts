import {getCurrentVoters} from './get-current-voters.js';
import type {ConsensusSettings} from './consensus-settings.js';
import type {ConsensusState} from './consensus-state.js';
import type {StoredLog} from './stored-log.js';

/**
 * The first election after a start is due after this many election timeouts, as voters grant no vote within the first timeout after their own
 * start.
 */
const FIRST_ELECTION_TIMEOUTS = 1.25;

/**
 * The first elections of voters that start together are spread over this share of an election timeout, so that they do not all vote for themselves.
 * This shortens the mean time until a leader is elected after a crash of all processes by a third.
 */
const FIRST_ELECTION_SPREAD = 0.5;

/**
 * Returns the state of a voter that starts from its stored log. The start of its process counts as contact with a leader, so that a lease that the
 * voter granted before the restart is honoured. An earlier process cannot have granted a lease after that start, so the time that the process took
 * to start counts towards this wait; after a crash of all processes this saves half a second without a leader.
 * @param startedAt - Start time of the process, in monotonic milliseconds.
 * @param jitter - A number in [0, 1) that selects the time of the first election within its range.
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
		contactedLeaderId: undefined,
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
