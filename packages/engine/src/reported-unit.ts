/** The state of a unit as an agent reports it to the leader. */
export type ReportedUnit = {
	readonly unit: string;
	/** A state of charts/unit.chart.json, or `failed`. */
	readonly state: string;
	readonly inProgress: number;
	/** Time since the unit was last loaded or used by a request, in milliseconds. */
	readonly idleMs: number;
};
