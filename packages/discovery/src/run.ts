/** One run of an upstream. An upstream may start again under the id that it had; it then holds and knows nothing of before. */
export type Run = {
	/** What the upstream calls itself. */
	readonly instanceId: string;
	/** When it started, by its own clock, in Unix milliseconds; 0 where it does not tell. Compared only with other runs of the same id. */
	readonly bornAt: number;
};
