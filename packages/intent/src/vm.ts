/** A VM that runs an upstream, as the agent on the VM registered it. */
export type Vm = {
	readonly name: string;
	readonly dataCentre: string;
	/** The address at which entries connect to the agent. */
	readonly address: string;
	/** Identifies one run of the agent: its start time in Unix milliseconds, a dash, and a random part. */
	readonly incarnation: string;
	/** Identifies one run of the upstream; it changes at each start. */
	readonly upstreamIncarnation: string;
	readonly memoryBytes: number;
	/** The name of the service that the upstream offers; empty for a model engine. */
	readonly service: string;
	readonly isDrained: boolean;
};
