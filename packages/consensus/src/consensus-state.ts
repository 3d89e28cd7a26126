import type {LogEntry} from './log-entry.js';
import type {PeerProgress} from './peer-progress.js';
import type {Snapshot} from './snapshot.js';
import type {Voter} from './voter.js';

/** The state of one voter. Only functions of this package may change it. Times are monotonic milliseconds. */
export type ConsensusState = {
	readonly selfId: string;
	role: string;
	term: number;
	votedFor: string | undefined;
	snapshot: Snapshot;
	/** Log entries that follow the snapshot. */
	log: LogEntry[];
	voters: readonly Voter[];
	/** Index of the configuration entry that set `voters`, or of the snapshot. */
	votersIndex: number;
	commitIndex: number;
	appliedIndex: number;
	/** The last index known to be synced on this voter's disk. */
	syncedIndex: number;
	leaderId: string | undefined;
	/** Time of the last message of a leader other than this voter, or of the start if there was none, in monotonic milliseconds. */
	leaderContactAt: number;
	/** The sender of that message; undefined if there was none since the start, or the sender has replied to this voter as the leader since. */
	contactedLeaderId: string | undefined;
	electionDueAt: number;
	/** A random number, uniform in [0, 1), that each tick replaces. */
	jitter: number;
	heartbeatDueAt: number;
	/** Replies to messages sent at or before this time do not extend the lease, because a suspension may have hidden time from the clock. */
	acksValidAfter: number;
	leaderSince: number;
	grantedVotes: Set<string>;
	peers: Map<string, PeerProgress>;
	proposals: Map<number, string>;
	transferTo: string | undefined;
	transferEndsAt: number;
};
