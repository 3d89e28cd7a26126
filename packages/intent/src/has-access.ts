type Shared = {
	readonly teams: readonly string[];
};

/** Whether a team may use a model, adapter or service. */
export const hasAccess = (shared: Shared, team: string): boolean => shared.teams.includes(team);
