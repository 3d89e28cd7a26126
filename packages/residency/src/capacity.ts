import type {ModelSize} from './model-size.js';

/** The accelerator memory of an engine for weights and adapters, in megabytes, its adapter slots, and the sizes of the models that it serves. */
export type Capacity = {
	readonly weightMemory: number;
	readonly adapterSlots: number;
	readonly models: ReadonlyMap<string, ModelSize>;
};
