/** The decision that a VM holds a replica of a unit. It counts until it is released on proof. */
export type Grant = {
	readonly id: string;
	readonly unit: string;
	/** The model or adapter whose limit the grant counts against. */
	readonly owner: string;
	readonly vm: string;
	readonly memoryBytes: number;
	/** Fencing number: the revision of the decision. */
	readonly fence: number;
	readonly isRevoking: boolean;
};
