/** A model that the engine is loading. Times are monotonic milliseconds. */
export type LoadInProgress = {
	readonly model: string;
	readonly startedAt: number;
	/** The expected end of the load, if nothing slows it down. */
	readonly endsAt: number;
	/** True if the model is fetched from the weight store, whose bandwidth is shared with other engines. */
	readonly isFetch: boolean;
};
