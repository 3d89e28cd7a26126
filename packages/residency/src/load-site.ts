/** An engine where a model could be loaded, as a gateway knows it. */
export type LoadSite = {
	readonly upstreamId: string;
	/** Whether the model is loaded, so that only an adapter is missing or places are taken. */
	readonly isHeld: boolean;
	readonly hasMemoryCopy: boolean;
	readonly hasDiskCopy: boolean;
	/** Whether the engine loads the model already, or has it waiting for its order. */
	readonly isLoading: boolean;
	/** Other models that it loads or that wait for their order there. */
	readonly queuedLoads: number;
	/** Requests in progress for each of its slots. */
	readonly pressure: number;
};
