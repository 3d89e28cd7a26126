/** Timing and limits of an agent. Times are in milliseconds. */
export type AgentSettings = {
	/** Lifetime of a credit on the agent's clock. A credit permits an entry to send one request to the agent. */
	readonly creditMs: number;
	/** Minimum number of credits that the agent tries to keep issued to each entry that has requests to send. */
	readonly spareCredits: number;
	/** The agent refuses new requests once its last contact with the leader is older than this. */
	readonly maxConfigurationAgeMs: number;
	/** The agent unloads all units once its last contact with the leader is older than this. */
	readonly replicaLeaseMs: number;
	/** Time after which a lost load or unload order can no longer reach the engine. */
	readonly settleMs: number;
	/** Delay before the agent orders a failed load again. */
	readonly loadRetryMs: number;
};
