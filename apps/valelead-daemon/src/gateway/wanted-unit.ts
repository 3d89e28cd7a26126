/** A model, or an adapter on it, that is to be loaded on some engine of a service. */
export type WantedUnit = {
	readonly service: string;
	readonly model: string;
	/** Empty for the model itself. */
	readonly adapter: string;
	/** Names the wish, so that the engine chosen for it is kept. */
	readonly key: string;
	/** Whether only engines with a copy come into question. */
	readonly needsCopy: boolean;
	/** Whether only engines come into question where nothing has to make way. */
	readonly needsRoom: boolean;
	/** Whether only engines come into question that keep few copies. */
	readonly needsShortOfCopies: boolean;
	/** Engines that load the model for another wish already. */
	readonly excluded: ReadonlySet<string>;
};
