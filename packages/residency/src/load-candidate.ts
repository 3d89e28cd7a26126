/** An engine that is considered as the place to load a model, with what a gateway knows about it. */
export type LoadCandidate = {
	readonly upstreamId: string;
	/** True if the model is already loaded, so that only an adapter is missing or the engine's concurrency limit is reached. */
	readonly isLoaded: boolean;
	readonly hasMemoryCopy: boolean;
	readonly hasDiskCopy: boolean;
	/** The number of models of which the engine has a copy, relative to the engine with the most copies, 0 to 1. */
	readonly copyShare: number;
	/** True if all loaded models are in use, so that one of them has to become idle before it can be evicted. */
	readonly isEvictionBlocked: boolean;
	/** Expected time until the model is loaded on the engine, in milliseconds; undefined if its load is neither in progress nor queued. */
	readonly remainingMs: number | undefined;
	/** True if the load of the model is in progress, false if it is queued or not requested. */
	readonly isStarted: boolean;
	/** Expected time until the load in progress ends, in milliseconds; the engine accepts no other order before that. */
	readonly busyMs: number;
	/** Expected time until all loads in progress or queued on the engine have ended, in milliseconds. */
	readonly queueMs: number;
	/** Slot utilization: the number of requests in progress divided by the number of slots. */
	readonly slotUtilization: number;
};
