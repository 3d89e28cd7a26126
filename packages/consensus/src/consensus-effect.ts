import type {ConsensusMessage} from './consensus-message.js';
import type {HardState} from './hard-state.js';
import type {LogEntry} from './log-entry.js';
import type {Snapshot} from './snapshot.js';

/**
 * An action that a voter requests from its environment. Effects are executed in order: a message or reply must not be sent
 * before every persist effect that precedes it is synced.
 */
export type ConsensusEffect =
	| {readonly kind: 'persistHardState'; readonly hardState: HardState}
	| {readonly kind: 'persistEntries'; /** These entries replace all stored entries from the first one's index on. */ readonly entries: readonly LogEntry[]}
	| {readonly kind: 'persistSnapshot'; readonly snapshot: Snapshot; readonly entries: readonly LogEntry[]}
	| {readonly kind: 'send'; readonly to: string; readonly message: ConsensusMessage}
	| {readonly kind: 'apply'; readonly entry: LogEntry}
	| {readonly kind: 'restore'; readonly snapshot: Snapshot}
	| {readonly kind: 'proposalCommitted'; readonly proposalId: string; readonly index: number}
	| {readonly kind: 'proposalRejected'; readonly proposalId: string};
