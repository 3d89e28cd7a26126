/** A unit (model version or adapter) that is granted to the VM or was found on its engine. */
export type AgentUnit = {
	readonly unit: string;
	readonly memoryBytes: number;
	/** Empty if the unit was found on the engine without a grant. */
	grantId: string;
	fence: number;
	isRevoking: boolean;
	/** The unit's state in charts/unit.chart.json. */
	state: string;
	base: string;
	inProgress: number;
	lastUsedAt: number;
	/** When the state last changed. An engine status requested before this time may predate the change and is not applied to the unit. */
	changedAt: number;
	failures: number;
	retryAt: number;
};
