/** The remembered use of one unit, from which its next use is predicted. Times are monotonic milliseconds. */
export type UsageHistory = {
	lastArrivalAt: number;
	/** True if the unit was prewarmed since the last arrival; it is prewarmed at most once per arrival. */
	wasPrewarmed: boolean;
	/** The gaps between sessions of use, oldest first, in milliseconds. */
	readonly gaps: number[];
	/** Exponential moving average of the number of requests that waited together for one load. */
	burstSize: number;
	/** Exponential moving average of the class weight of the unit's requests. */
	requestWeight: number;
};
