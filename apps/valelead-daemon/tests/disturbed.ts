/** Processes of the model that a step disturbs. */
export const DISTURBED = {
	Leader: 'leader', Voters: 'voters', Gateway: 'gateway', Cut: 'cut',
} as const;
