import type {TeamKeys} from './team-keys.js';
import type {KeyTable} from './key-table.js';

/** Builds the table that maps key digests to team names. */
export const newKeyTable = (teams: Iterable<TeamKeys>): KeyTable => {
	const table = new Map<string, string>();
	for (const {name, keyHashes} of teams) {
		for (const hash of keyHashes) {
			table.set(hash, name);
		}
	}

	return table;
};
