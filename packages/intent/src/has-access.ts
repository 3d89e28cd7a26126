type SharedResource = {
	readonly teams: readonly string[];
};

/** Returns true if a team may use a model, adapter or service. */
export const hasAccess = (resource: SharedResource, team: string): boolean => resource.teams.includes(team);
