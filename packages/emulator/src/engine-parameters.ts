/** Capacity and speed of one type of model engine. Memory is in megabytes, times are in milliseconds. */
export type EngineParameters = {
	/** Maximum number of requests that run at the same time. */
	readonly slots: number;
	/** Maximum number of requests that wait for a slot. */
	readonly maxQueued: number;
	/** Base duration of a step that generates tokens, and the time that each request in the step adds. */
	readonly stepMs: number;
	readonly stepMsPerRun: number;
	readonly promptTokensPerMs: number;
	/** Maximum number of prompt tokens that are read within one step. */
	readonly chunkTokens: number;
	readonly tokensPerEvent: number;
	readonly weightMemory: number;
	readonly adapterSlots: number;
	/** Capacity for copies of weights in host memory and on disk. */
	readonly hostMemory: number;
	readonly diskMemory: number;
	/** Duration of an unload, after the model's running requests have ended. */
	readonly unloadMs: number;
};
