/** A unit as an agent reports it. */
export type ReportedUnit = {
	readonly unit: string;
	/** A state of charts/unit.chart.json, or `failed`. */
	readonly state: string;
	readonly inProgress: number;
	/** Time since its last request ended, in milliseconds. */
	readonly idleMs: number;
};
