import type {Intent, Team} from '@valelead/intent';
import {hashKey} from '../hash-key.js';
import {isEqualHash} from '../is-equal-hash.js';

/** Finds the team of a bearer key. Only hashes are held. */
export class KeyIndex {
	readonly #teams = new Map<string, string>();

	refresh(intent: Intent): void {
		this.#teams.clear();
		for (const team of intent.teams.values()) {
			for (const key of team.keys) {
				this.#teams.set(key.hash, team.name);
			}
		}
	}

	findTeam(intent: Intent, authorization: string | undefined): Team | undefined {
		const key = /^Bearer (?<key>\S+)$/v.exec(authorization ?? '')?.groups?.key;
		if (key === undefined) {
			return undefined;
		}

		const hash = hashKey(key);
		const team = intent.teams.get(this.#teams.get(hash) ?? '');
		return team?.keys.some(known => isEqualHash(known.hash, hash)) ? team : undefined;
	}
}
