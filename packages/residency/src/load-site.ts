/** An engine where a model could be loaded, as a gateway knows it. */
export type LoadSite = {
	readonly upstreamId: string;
	/** Whether the model is loaded, so that only an adapter is missing or places are taken. */
	readonly isHeld: boolean;
	readonly hasMemoryCopy: boolean;
	readonly hasDiskCopy: boolean;
	/** Models that it keeps copies of, relative to the engine that keeps most, 0 to 1. */
	readonly copyShare: number;
	/** Whether all models that are loaded are in use, so that one of them has to fall idle first. */
	readonly isInUse: boolean;
	/** Expected time until the model is loaded there, in milliseconds; undefined where it is not loading or queued. */
	readonly remainingMs: number | undefined;
	/** Whether the engine is carrying that load out. */
	readonly isStarted: boolean;
	/** Expected time until the load that the engine carries out now is done, in milliseconds; it takes no other order before. */
	readonly busyMs: number;
	/** Expected time until all loads that are in progress or queued there are done, in milliseconds. */
	readonly queueMs: number;
	/** Requests in progress for each of its slots. */
	readonly pressure: number;
};
