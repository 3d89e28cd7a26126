/** A model, or an adapter on it, that is to be loaded on some engine of a service. */
export type PlacementRequest = {
	readonly service: string;
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** Names the wish, so that the engine chosen for it is kept. */
	readonly key: string;
	/** Whether only engines with a copy come into question. */
	readonly requiresCopy: boolean;
	/** Whether only engines come into question where nothing has to make way. */
	readonly requiresRoom: boolean;
	/** Whether only engines come into question that keep few copies. */
	readonly requiresFewCopies: boolean;
	/** Engines that load the model for another wish already. */
	readonly excludedUpstreamIds: ReadonlySet<string>;
};
