import type {HardState} from './hard-state.js';
import type {LogEntry} from './log-entry.js';
import type {Snapshot} from './snapshot.js';

/** The log and hard state of a voter as stored on its disk. */
export type StoredLog = {
	readonly id: string;
	readonly vm: string;
	readonly hardState: HardState;
	readonly snapshot: Snapshot;
	readonly entries: readonly LogEntry[];
};
