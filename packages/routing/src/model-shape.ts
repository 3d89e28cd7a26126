/** The size of a model and how long it takes to load. Memory in megabytes, times in milliseconds. */
export type ModelShape = {
	readonly name: string;
	readonly weightMemory: number;
	readonly adapterMemory: number;
	/** Load time from the weight store, from the engine's disk and from its host memory. */
	readonly storeLoadMs: number;
	readonly diskLoadMs: number;
	readonly memoryLoadMs: number;
};
