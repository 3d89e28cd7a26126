/** Processes of the model that a step disturbs. */
export const FAULT_KIND = {
	Leader: 'leader', Voters: 'voters', Gateway: 'gateway', Cut: 'cut',
} as const;
