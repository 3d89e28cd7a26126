/** What is needed of a model, or of an adapter on it, at one engine. */
export type UnitNeed = {
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** Requests that wait for it to be loaded. */
	readonly waiting: number;
	readonly inProgress: number;
	/** Time until the most urgent waiting request misses its objective, in milliseconds. */
	readonly dueInMs: number;
	/** The weights of the requests that wait, added up. */
	readonly weight: number;
};
