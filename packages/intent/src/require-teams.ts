import {requirePresent} from './require-present.js';
import type {Intent} from './intent.js';

/** Throws a ValeleadError if one of the teams does not exist. */
export const requireTeams = (intent: Intent, teams: readonly string[]): void => {
	for (const team of teams) {
		requirePresent(intent.teams, team, 'team');
	}
};
