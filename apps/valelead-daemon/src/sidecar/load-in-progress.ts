/** A model that the engine is loading. */
export type LoadInProgress = {
	readonly model: string;
	/** When the load is expected to end, in monotonic milliseconds. */
	readonly endsAt: number;
};
