/** The memory that a model needs and the times that it takes to load. Memory in megabytes, times in milliseconds. */
export type ModelProfile = {
	readonly name: string;
	readonly weightMemory: number;
	readonly adapterMemory: number;
	/** The time to load the model from the weight store. */
	readonly storeLoadMs: number;
	/** The time to load the model from the engine's disk. */
	readonly diskLoadMs: number;
	/** The time to load the model from the engine's host memory. */
	readonly memoryLoadMs: number;
};
