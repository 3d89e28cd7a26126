/** The dispatches of a team at other entries that became known at one time. */
export type RemoteDispatches = {
	/** In monotonic milliseconds. */
	readonly at: number;
	/** The number of dispatches, divided by the weight of the team. */
	readonly count: number;
};
