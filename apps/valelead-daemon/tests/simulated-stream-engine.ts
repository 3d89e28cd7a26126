/** An engine that streams events which name its service and its software version. */
export type SimulatedStreamEngine = {
	readonly id: string;
	readonly service: string;
	readonly softwareVersion: string;
	isUp: boolean;
};
