/** What one kind of model engine can hold and how fast it works. Memory in megabytes, times in milliseconds. */
export type EngineTerms = {
	readonly slots: number;
	/** Requests that wait for a slot at most. */
	readonly maxQueued: number;
	/** A step of the batch, and what each running request adds to it. */
	readonly stepMs: number;
	readonly stepMsPerRun: number;
	readonly promptTokensPerMs: number;
	/** Prompt tokens that are read within one step at most. */
	readonly chunkTokens: number;
	readonly tokensPerEvent: number;
	readonly weightMemory: number;
	readonly adapterSlots: number;
	/** Room for copies of weights in host memory and on the disk. */
	readonly hostMemory: number;
	readonly diskMemory: number;
	/** How long an unload takes once the model's runs have ended. */
	readonly unloadMs: number;
};
