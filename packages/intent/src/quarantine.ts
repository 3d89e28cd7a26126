/** A request, or all requests whose prompts have certain segments, that are not sent to any upstream because upstreams crashed while they ran them. */
export type Quarantine = {
	/** Identifies the request or the set of segments without revealing its content. */
	readonly fingerprint: string;
	/** Fingerprints of the segments; undefined if the quarantine concerns a single request. */
	readonly segments?: readonly string[];
	/** The known upstream runs that crashed while they ran such a request. */
	readonly upstreams: readonly string[];
	/** Time of the quarantine decision by the leader's wall clock, in Unix milliseconds. It only informs operators. */
	readonly judgedAt: number;
};
