/** The crashes that count against a prompt segment. */
export type SegmentCrashes = {
	/** Ids of the crashed runs at which a response to a prompt with the segment had just begun. */
	readonly runs: Set<string>;
	/** Those of them that a quarantined set of segments explains. */
	readonly explainedRuns: Set<string>;
	/** The segments of each such prompt. */
	readonly prompts: Array<readonly string[]>;
	/** The highest number of crashes that count against one of the sets that explain them. */
	explanation: number;
};
