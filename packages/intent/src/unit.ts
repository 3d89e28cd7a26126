/** Something that an engine loads: a version of a model, or an adapter on it. */
export type Unit = {
	readonly key: string;
	/** The model or adapter whose limit its replicas count against. */
	readonly owner: string;
	readonly model: string;
	readonly version: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** The unit that must be on the same VM first; empty for the model itself. */
	readonly base: string;
	readonly memoryBytes: number;
	readonly maxReplicas: number;
	readonly minReplicas: number;
	readonly class: string;
	readonly teams: readonly string[];
	readonly isStopped: boolean;
};
