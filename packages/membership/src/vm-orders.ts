/** A grant as its VM learns of it. */
type VmGrant = {
	readonly id: string;
	readonly unit: string;
	readonly base: string;
	readonly memoryBytes: number;
	readonly fence: number;
	readonly isRevoking: boolean;
};

/** What the leader wants of one VM at a revision. */
export type VmOrders = {
	readonly revision: number;
	readonly isDrained: boolean;
	readonly grants: readonly VmGrant[];
};
