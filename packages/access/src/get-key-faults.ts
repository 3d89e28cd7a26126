import {hashKey} from './hash-key.js';
import type {KeyFault} from './key-fault.js';
import type {TeamKeys} from './team-keys.js';

const EMPTY_HASH = hashKey('');

/** Returns all faults in the names and keys of the teams: duplicate names, duplicate keys and empty keys. */
export const getKeyFaults = (teams: Iterable<TeamKeys>): KeyFault[] => {
	const names = new Set<string>();
	const teamsByHash = new Map<string, string>();
	const faults: KeyFault[] = [];
	for (const {name, keyHashes} of teams) {
		if (names.has(name)) {
			faults.push({team: name, reason: 'another team has the same name'});
		}

		names.add(name);
		for (const hash of keyHashes) {
			const otherTeam = teamsByHash.get(hash);
			if (otherTeam !== undefined) {
				faults.push({team: name, reason: otherTeam === name ? 'a key stands twice' : `a key is also a key of team ${otherTeam}`});
			}

			if (hash === EMPTY_HASH) {
				faults.push({team: name, reason: 'a key is empty'});
			}

			teamsByHash.set(hash, name);
		}
	}

	return faults;
};
