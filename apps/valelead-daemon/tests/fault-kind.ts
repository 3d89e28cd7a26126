/** Kinds of faults that a step injects: suspending the leader, all voters or one gateway, or partitioning one gateway from all voters. */
export const FAULT_KIND = {
	Leader: 'leader', Voters: 'voters', Gateway: 'gateway', Cut: 'cut',
} as const;
