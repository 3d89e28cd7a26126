/** What a fuzzing run tried and found. */
export type FuzzResult = {
	readonly runs: number;
	readonly commands: number;
	/** The shrunk failure, or undefined if all runs passed. */
	readonly failure: string | undefined;
};
