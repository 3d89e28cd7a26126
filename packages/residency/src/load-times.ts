/** How long a model takes to load by where its copy lies, in milliseconds. */
export type LoadTimes = {
	readonly storeLoadMs: number;
	readonly diskLoadMs: number;
	readonly memoryLoadMs: number;
};
