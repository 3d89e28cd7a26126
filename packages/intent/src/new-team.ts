import type {Team} from './team.js';

/** Returns a team with the default limits. */
export const newTeam = (name: string): Team => ({
	name,
	weight: 1,
	maxInProgress: 100,
	maxWaiting: 500,
	classes: [],
	keys: [],
	isStopped: false,
});
