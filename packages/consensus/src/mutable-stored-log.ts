import type {HardState} from './hard-state.js';
import type {LogEntry} from './log-entry.js';
import type {Snapshot} from './snapshot.js';

/** A stored log to which effects are being applied. */
export type MutableStoredLog = {
	readonly id: string;
	readonly vm: string;
	hardState: HardState;
	snapshot: Snapshot;
	entries: LogEntry[];
};
