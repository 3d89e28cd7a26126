import type {ConsensusMessage} from './consensus-message.js';
import type {HardState} from './hard-state.js';
import type {LogEntry} from './log-entry.js';
import type {Snapshot} from './snapshot.js';

/**
 * What a voter wants done. Effects are carried out in order: a message or reply must not leave
 * before every persist effect that precedes it is synced.
 */
export type ConsensusEffect =
	| {readonly kind: 'persistHardState'; readonly hardState: HardState}
	| {readonly kind: 'persistEntries'; /** Entries from the first index on are replaced. */ readonly entries: readonly LogEntry[]}
	| {readonly kind: 'persistSnapshot'; readonly snapshot: Snapshot; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'send'; readonly to: string; readonly message: ConsensusMessage}
	| {readonly kind: 'apply'; readonly entry: LogEntry}
	| {readonly kind: 'restore'; readonly snapshot: Snapshot}
	| {readonly kind: 'proposalCommitted'; readonly proposalId: string; readonly index: number}
	| {readonly kind: 'proposalRejected'; readonly proposalId: string};
