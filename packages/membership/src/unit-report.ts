/** The state of one loaded unit, as its VM reports it. */
export type UnitReport = {
	readonly unit: string;
	readonly state: string;
	readonly inProgress: number;
	/** Time since the last request for the unit ended, in milliseconds. */
	readonly idleMs: number;
};
