/** An engine where a model could be loaded, as a gateway knows it. */
export type LoadSite = {
	readonly upstreamId: string;
	/** Whether the model is loaded, so that only an adapter is missing or places are taken. */
	readonly isHeld: boolean;
	readonly hasMemoryCopy: boolean;
	readonly hasDiskCopy: boolean;
	/** Expected time until the model is loaded there, in milliseconds; undefined where it is not loading or queued. */
	readonly remainingMs: number | undefined;
	/** Expected time until all loads that are in progress or queued there are done, in milliseconds. */
	readonly queueMs: number;
	/** Requests in progress for each of its slots. */
	readonly pressure: number;
};
