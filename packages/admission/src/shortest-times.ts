/** The shortest times from dispatch that were measured in a window, in milliseconds; infinite before the first sample. */
export type ShortestTimes = {
	/** The time until a response began. */
	startMs: number;
	/** The time until a response was complete. */
	endMs: number;
};
