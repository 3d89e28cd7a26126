/** One crash that a request is blamed for, as it is logged with a judgement. */
export type CrashEvidence = {
	/** Names the run of the upstream. */
	readonly upstreamId: string;
	/** Time since the crash was first heard of, in milliseconds. */
	readonly ageMs: number;
	/** How far the upstream had come with the request. */
	readonly phase: string;
	readonly blame: number;
	/** The other requests in progress there, each with its phase; the first ones only. */
	readonly others: readonly string[];
	readonly otherCount: number;
};
