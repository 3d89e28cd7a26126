import {type KeyTable, getTeamOfKey, newKeyTable} from '@valelead/access';
import type {Intent, Team} from '@valelead/intent';

/** Finds the team that a bearer key belongs to. Stores only hashes of the keys. */
export class KeyIndex {
	#table: KeyTable = new Map();

	/** Rebuilds the index from the teams of a configuration. */
	refresh(intent: Intent): void {
		const teams = [...intent.teams.values()];
		this.#table = newKeyTable(teams.map(({name, keys}) => ({name, keyHashes: keys.map(({hash}) => hash)})));
	}

	/** Returns the team of the key in an Authorization header, or undefined if there is no known key. */
	findTeam(intent: Intent, authorization: string | undefined): Team | undefined {
		const key = /^Bearer (?<key>\S+)$/v.exec(authorization ?? '')?.groups?.key;
		const name = key === undefined ? undefined : getTeamOfKey(this.#table, key);
		return name === undefined ? undefined : intent.teams.get(name);
	}
}
