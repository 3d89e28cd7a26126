/** What holds of an engine as a place for any model. */
export type EngineUsage = {
	/** Models that are loaded, being loaded or going to be. */
	readonly models: ReadonlySet<string>;
	/** What these take up, in megabytes. */
	readonly usedMemory: number;
	/** Whether each model that could make way is in use or makes way for a load that is queued already. */
	readonly isEvictionBlocked: boolean;
};
