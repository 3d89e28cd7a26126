/** The permission for a VM to keep a replica of a unit loaded. Its memory stays reserved until the agent has confirmed that the unit is unloaded. */
export type Grant = {
	readonly id: string;
	readonly unit: string;
	/** The model or adapter whose replica limit the grant counts against. */
	readonly owner: string;
	readonly vm: string;
	readonly memoryBytes: number;
	/** Fencing token: the revision that created the grant. */
	readonly fence: number;
	readonly isRevoking: boolean;
};
