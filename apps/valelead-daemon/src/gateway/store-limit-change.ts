/** A change of the number of models that engines may fetch from the weight store concurrently. */
export type StoreLimitChange = {
	/** The new limit. */
	readonly atOnce: number;
	/** The previous limit. */
	readonly before: number;
	/** Fetches in progress when the limit changed. */
	readonly underWay: number;
};
