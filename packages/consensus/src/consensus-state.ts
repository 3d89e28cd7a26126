import type {LogEntry} from './log-entry.js';
import type {PeerProgress} from './peer-progress.js';
import type {Snapshot} from './snapshot.js';
import type {Voter} from './voter.js';

/** The state of one voter. Only the functions of this package change it. */
export type ConsensusState = {
	readonly selfId: string;
	role: string;
	term: number;
	votedFor: string | undefined;
	snapshot: Snapshot;
	/** Entries after the snapshot. */
	log: LogEntry[];
	voters: readonly Voter[];
	/** The index of the entry that set `voters`. */
	votersIndex: number;
	commitIndex: number;
	appliedIndex: number;
	/** The last index known to be synced on the own disk. */
	syncedIndex: number;
	leaderId: string | undefined;
	leaderContactAt: number;
	electionDueAt: number;
	/** Uniform in [0, 1), anew with each tick. */
	jitter: number;
	heartbeatDueAt: number;
	/** Answers to messages that were sent earlier confirm no lease, as more time may have passed since than the clock shows. */
	acksValidAfter: number;
	leaderSince: number;
	grantedVotes: Set<string>;
	peers: Map<string, PeerProgress>;
	proposals: Map<number, string>;
	transferTo: string | undefined;
	transferEndsAt: number;
};
