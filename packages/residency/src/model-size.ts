import type {LoadTimes} from './load-times.js';

/** The memory of a model's weights and of one of its adapters, in megabytes, and the load times of the model. */
export type ModelSize = LoadTimes & {
	readonly weightMemory: number;
	readonly adapterMemory: number;
};
