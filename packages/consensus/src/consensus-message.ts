import type {LogEntry} from './log-entry.js';
import type {Voter} from './voter.js';

/** A message between voters. `sentAt` is the leader's monotonic time of sending, in milliseconds; a reply returns it unchanged. */
export type ConsensusMessage =
	| {readonly kind: 'voteRequest'; readonly term: number; readonly isPreVote: boolean; readonly lastIndex: number; readonly lastTerm: number; readonly isTransfer: boolean}
	| {readonly kind: 'voteReply'; readonly term: number; readonly isPreVote: boolean; readonly isGranted: boolean}
	| {
		readonly kind: 'appendRequest';
		readonly term: number;
		readonly previousIndex: number;
		readonly previousTerm: number;
		readonly entries: readonly LogEntry[];
		readonly commitIndex: number;
		readonly sentAt: number;
	}
	| {readonly kind: 'appendReply'; readonly term: number; readonly isSuccess: boolean; readonly matchIndex: number; readonly sentAt: number}
	| {
		readonly kind: 'snapshotRequest'; readonly term: number; readonly index: number; readonly indexTerm: number; readonly voters: readonly Voter[]; readonly data: string; readonly sentAt: number;
	}
	| {readonly kind: 'timeoutNow'; readonly term: number};
