import {LOG_ENTRY_KIND} from './log-entry-kind.js';
import type {LogEntry} from './log-entry.js';
import type {Snapshot} from './snapshot.js';
import type {Voter} from './voter.js';

type CurrentVoters = {
	readonly voters: readonly Voter[];
	readonly index: number;
};

/** Returns the voters of the last configuration entry, or of the snapshot if the log contains no such entry. */
export const getCurrentVoters = (snapshot: Snapshot, log: readonly LogEntry[]): CurrentVoters => {
	const entry = log.findLast(candidate => candidate.kind === LOG_ENTRY_KIND.Configuration);
	if (!entry) {
		return {voters: snapshot.voters, index: snapshot.index};
	}

	return {voters: JSON.parse(entry.data) as Voter[], index: entry.index};
};
