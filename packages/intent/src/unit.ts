/** A unit that an engine loads: a version of a model, or an adapter for this version. */
export type Unit = {
	readonly key: string;
	/** The model or adapter whose replica limit the replicas of the unit count against. */
	readonly owner: string;
	readonly model: string;
	readonly version: string;
	/** The name of the adapter; empty if the unit is a model version. */
	readonly adapter: string;
	/** The unit that must be loaded on the same VM first; empty if the unit is a model version. */
	readonly base: string;
	readonly memoryBytes: number;
	readonly maxReplicas: number;
	readonly minReplicas: number;
	readonly class: string;
	readonly teams: readonly string[];
	readonly isStopped: boolean;
};
