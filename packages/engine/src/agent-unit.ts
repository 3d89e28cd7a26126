/** A unit that is granted to the VM or found on its engine. */
export type AgentUnit = {
	readonly unit: string;
	readonly memoryBytes: number;
	/** Empty for a unit that was found without a grant. */
	grantId: string;
	fence: number;
	isRevoking: boolean;
	/** A state of charts/unit.chart.json. */
	state: string;
	base: string;
	inProgress: number;
	lastUsedAt: number;
	/** When the state last changed; reports asked for before say nothing of it. */
	changedAt: number;
	failures: number;
	retryAt: number;
};
