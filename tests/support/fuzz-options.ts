/** What a fuzzing run is asked for. */
export type FuzzOptions<Mutation> = {
	readonly seed: number;
	readonly runs: number;
	readonly mutation: Mutation;
	readonly maxCommands?: number;
};
