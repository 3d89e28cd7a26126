/** A small set of weights that is loaded beside a replica of its model. */
export type Adapter = {
	readonly name: string;
	readonly model: string;
	readonly memoryBytes: number;
	readonly maxReplicas: number;
	readonly teams: readonly string[];
};
