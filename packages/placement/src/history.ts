/** What the placement remembers of one unit's use. Times are monotonic milliseconds. */
export type History = {
	lastArrivalAt: number;
	/** Gaps between bursts of use, oldest first, in milliseconds. */
	readonly gaps: number[];
	/** Running mean of the requests that waited together for one load. */
	burstSize: number;
	/** Running mean of the class weight of its requests. */
	requestWeight: number;
};
