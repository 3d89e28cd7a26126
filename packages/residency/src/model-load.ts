/** A load of a model on an engine that is in progress or queued. */
export type ModelLoad = {
	readonly model: string;
	/** Expected time until the model is loaded, in milliseconds. */
	readonly remainingMs: number;
	/** The number of requests of all gateways that wait for the model. */
	readonly waiting: number;
	/** True if the load is in progress, false if it is queued. */
	readonly isStarted: boolean;
	/** The elapsed time of a load from the weight store that is in progress, relative to its configured load time; 0 for every other load. */
	readonly pace: number;
};
