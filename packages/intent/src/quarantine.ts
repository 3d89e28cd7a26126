/** A request that is not sent to any upstream because upstreams crashed while they ran it. */
export type Quarantine = {
	/** Identifies the request without revealing its content. */
	readonly fingerprint: string;
	/** The known upstream runs that crashed while they ran the request. */
	readonly upstreams: readonly string[];
	/** Time of the quarantine decision by the leader's wall clock, in Unix milliseconds. It only informs operators. */
	readonly judgedAt: number;
};
