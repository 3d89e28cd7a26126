import type {ModelProfile} from './model-profile.js';

/** The capacity of each model engine of a service. Memory in megabytes. */
export type EngineLimits = {
	/** The number of requests that an engine runs at once. */
	readonly slots: number;
	/** The number of tokens that the key-value cache holds. */
	readonly cacheTokens: number;
	/** The memory for model weights and adapters together. */
	readonly weightMemory: number;
	readonly adapterSlots: number;
	/** The number of loads from the weight store that may start per second, over all engines together. */
	readonly loadsPerSecond: number;
	readonly models: readonly ModelProfile[];
};
