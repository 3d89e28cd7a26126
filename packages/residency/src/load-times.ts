/** The load times of a model from the weight store, from disk and from host memory, in milliseconds. */
export type LoadTimes = {
	readonly storeLoadMs: number;
	readonly diskLoadMs: number;
	readonly memoryLoadMs: number;
};
