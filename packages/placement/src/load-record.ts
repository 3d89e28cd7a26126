/** A load that was granted and has not ended yet. */
export type LoadRecord = {
	readonly unit: string;
	readonly vm: string;
	readonly startedAt: number;
	/** True if the load reads from the weight store, false if it reads from the VM's disk. */
	readonly isFromStore: boolean;
	/** True if the load was granted before any request waited for the unit. */
	readonly isPrewarm: boolean;
};
