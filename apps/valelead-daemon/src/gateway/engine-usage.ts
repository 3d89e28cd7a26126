/** The use of an engine's memory, which does not depend on the model that is to be placed there. */
export type EngineUsage = {
	/** Models that are loaded, being loaded or queued to be loaded. */
	readonly models: ReadonlySet<string>;
	/** Memory that the weights of these models take up, in megabytes. */
	readonly usedMemory: number;
	/** True if no model can be evicted for one more load: each one is in use or is needed to make room for a load that is already queued. */
	readonly isEvictionBlocked: boolean;
};
