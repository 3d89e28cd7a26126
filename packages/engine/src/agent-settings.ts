/** Timing and limits of an agent. Times in milliseconds. */
export type AgentSettings = {
	/** How long a credit is valid on the agent's clock. */
	readonly creditMs: number;
	/** Credits that an entry holds in advance. */
	readonly spareCredits: number;
	/** Without word from the leader for longer, no new work is taken. */
	readonly maxConfigurationAgeMs: number;
	/** Without word from the leader for longer, all units are unloaded. */
	readonly replicaLeaseMs: number;
	/** Time after which an order that was lost can no longer reach the engine. */
	readonly settleMs: number;
	/** Wait before a refused load is ordered again. */
	readonly loadRetryMs: number;
};
