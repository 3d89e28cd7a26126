/** The dispatches of a team at other entries that became known at one time, and that count as spread evenly over the time before it. */
export type RemoteDispatches = {
	/** In monotonic milliseconds. */
	readonly at: number;
	/** The time in which they took place, in milliseconds. */
	readonly forMs: number;
	/** The number of dispatches, divided by the weight of the team. */
	readonly count: number;
};
