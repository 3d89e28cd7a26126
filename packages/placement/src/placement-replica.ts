/** A granted replica of a unit on a VM, as input of the placement. Its idle time is in milliseconds. */
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
