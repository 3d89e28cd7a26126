/** A granted replica as the placement sees it. */
export type PlacementReplica = {
	readonly grantId: string;
	readonly unit: string;
	readonly vm: string;
	readonly memoryBytes: number;
	readonly isReady: boolean;
	readonly isRevoking: boolean;
	readonly inProgress: number;
	readonly idleMs: number;
};
