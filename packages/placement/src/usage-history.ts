/** What the placement remembers of one unit's use. Times are monotonic milliseconds. */
export type UsageHistory = {
	lastArrivalAt: number;
	/** Whether it was loaded ahead of a return since the last arrival; a return is foretold once. */
	wasPrewarmed: boolean;
	/** Gaps between bursts of use, oldest first, in milliseconds. */
	readonly gaps: number[];
	/** Running mean of the requests that waited together for one load. */
	burstSize: number;
	/** Running mean of the class weight of its requests. */
	requestWeight: number;
};
