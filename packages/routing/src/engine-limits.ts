import type {ModelShape} from './model-shape.js';

/** What one model engine of a service can hold and run. Memory in megabytes. */
export type EngineLimits = {
	/** Requests that run at once. */
	readonly slots: number;
	/** Tokens that the key-value cache holds. */
	readonly cacheTokens: number;
	/** Memory for weights and adapters together. */
	readonly weightMemory: number;
	readonly adapterSlots: number;
	/** Loads from the weight store that may start in a second, over all engines. */
	readonly loadsPerSecond: number;
	readonly models: readonly ModelShape[];
};
