/** Size, load times and speed of a model. Memory is in megabytes, times are in milliseconds. */
export type ModelParameters = {
	readonly name: string;
	readonly weightMemory: number;
	readonly adapterMemory: number;
	/** Number of adapters of the model. They are named a1, a2 and so on. */
	readonly adapters: number;
	readonly adapterLoadMs: number;
	readonly storeLoadMs: number;
	readonly diskLoadMs: number;
	readonly memoryLoadMs: number;
	/** Duration of the model's steps as a multiple of the engine's step time. */
	readonly pace: number;
};
