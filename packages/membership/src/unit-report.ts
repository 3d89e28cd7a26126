/** The state of one loaded unit. */
export type UnitReport = {
	readonly unit: string;
	readonly state: string;
	readonly inProgress: number;
	/** Time since its last request ended, in milliseconds. */
	readonly idleMs: number;
};
