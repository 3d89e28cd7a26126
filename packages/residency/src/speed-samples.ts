/** Sums of what one gateway has measured at an engine. Times in milliseconds. */
export type SpeedSamples = {
	/** Time between events of streams, and the number of events that ended it. */
	readonly gapMs: number;
	readonly gaps: number;
	/** Time from the start of an attempt to the first event of its stream, and the number of such streams. */
	readonly firstEventMs: number;
	readonly firstEvents: number;
};
