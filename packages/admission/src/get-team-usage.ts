import type {AdmissionState} from './admission-state.js';
import type {TeamUsage} from './team-usage.js';

/** Returns the usage of a team and creates it on first use. */
export const getTeamUsage = (state: AdmissionState, team: string): TeamUsage => {
	const known = state.teams.get(team);
	if (known) {
		return known;
	}

	const usage: TeamUsage = {
		waiting: 0, inProgress: 0, virtualTime: state.virtualTime, dispatched: 0, recentRemote: [],
	};
	state.teams.set(team, usage);
	return usage;
};
