/** Memory of a model's weights and of one adapter on it, in megabytes. */
export type ModelSize = {
	readonly weightMemory: number;
	readonly adapterMemory: number;
};
