/** Timing of the quorum. All values are in milliseconds. */
export type ConsensusSettings = {
	readonly heartbeatMs: number;
	/** The minimum election timeout; the maximum is twice this value. */
	readonly electionTimeoutMs: number;
};
