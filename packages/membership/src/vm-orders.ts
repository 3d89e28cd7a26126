/** A grant of memory for a replica, in the form in which it is sent to its VM. */
type VmGrant = {
	readonly id: string;
	readonly unit: string;
	readonly base: string;
	readonly memoryBytes: number;
	readonly fence: number;
	readonly isRevoking: boolean;
};

/** The target state of one VM at a revision of the configuration. */
export type VmOrders = {
	readonly revision: number;
	readonly isDrained: boolean;
	readonly grants: readonly VmGrant[];
};
