/** The measured speed of an engine, in milliseconds. */
export type EngineSpeed = {
	/** Mean time between two events of a stream; 0 if too few were measured recently. */
	readonly eventGapMs: number;
	/** Mean time to the first event of a stream; 0 if none was measured recently. */
	readonly firstEventMs: number;
};
