import type {LoadTimes} from './load-times.js';

/** Memory of a model's weights and of one adapter on it, in megabytes, and its load times. */
export type ModelSize = LoadTimes & {
	readonly weightMemory: number;
	readonly adapterMemory: number;
};
