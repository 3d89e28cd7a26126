/** Timing of the quorum. All values in milliseconds. */
export type ConsensusSettings = {
	readonly heartbeatMs: number;
	/** The shortest election timeout; the longest is twice this. */
	readonly electionTimeoutMs: number;
};
