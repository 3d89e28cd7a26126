/** The move of a placement request from one engine to another. Times in milliseconds. */
export type PlacementChange = {
	/** Key of the placement request: the name of a unit, or of a replica of one. */
	readonly key: string;
	readonly fromUpstreamId: string;
	readonly toUpstreamId: string;
	/** How long the previous engine was the choice. */
	readonly stoodMs: number;
	/** Time until the unit is expected to be loaded on the new engine. */
	readonly expectedMs: number;
	/** True if the request was moved because the previous engine had not begun the load in time. */
	readonly isStuck: boolean;
};
