/** A VM with an upstream, as its agent registered it. */
export type Vm = {
	readonly name: string;
	readonly dataCentre: string;
	/** Where entries reach the agent. */
	readonly address: string;
	/** New at each start of the agent: start time in milliseconds, a dash, a random part. */
	readonly incarnation: string;
	/** New at each start of the upstream. */
	readonly upstreamIncarnation: string;
	readonly memoryBytes: number;
	/** The name of the service, empty for a model engine. */
	readonly service: string;
	readonly isDrained: boolean;
};
