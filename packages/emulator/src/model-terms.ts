/** One model: its size, its load times and its speed. Memory in megabytes, times in milliseconds. */
export type ModelTerms = {
	readonly name: string;
	readonly weightMemory: number;
	readonly adapterMemory: number;
	/** Adapters it has, named a1, a2 and so on. */
	readonly adapters: number;
	readonly adapterLoadMs: number;
	readonly storeLoadMs: number;
	readonly diskLoadMs: number;
	readonly memoryLoadMs: number;
	/** How long steps take, relative to the engine's own. */
	readonly pace: number;
};
