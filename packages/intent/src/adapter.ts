/** A small set of additional weights for a model, which an engine loads next to a replica of the model. */
export type Adapter = {
	readonly name: string;
	readonly model: string;
	readonly memoryBytes: number;
	readonly maxReplicas: number;
	readonly teams: readonly string[];
};
