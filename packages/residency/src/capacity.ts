import type {ModelSize} from './model-size.js';

/** What an engine may hold. Memory in megabytes. */
export type Capacity = {
	readonly weightMemory: number;
	readonly adapterSlots: number;
	readonly models: ReadonlyMap<string, ModelSize>;
};
