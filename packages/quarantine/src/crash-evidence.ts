/** One crash that counts against a request, as it is logged with a quarantine decision. */
export type CrashEvidence = {
	/** Id of the run of the upstream that crashed. */
	readonly upstreamId: string;
	/** Time since the crash was first reported, in milliseconds. */
	readonly ageMs: number;
	/** Phase of the request when the upstream crashed, a value of `SUSPECT_PHASE`. */
	readonly phase: string;
	/** Part of the crash score of the request that comes from this crash. */
	readonly blame: number;
	/** Fingerprint and phase of other requests in progress at the crash; truncated to the first few. */
	readonly others: readonly string[];
	/** Number of all other requests in progress at the crash. */
	readonly otherCount: number;
};
