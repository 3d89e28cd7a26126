/** An order to an engine. */
export type UpstreamOrder = {
	readonly unit: string;
	readonly memoryBytes: number;
	/** Fencing number: the newest revision that the agent knows. */
	readonly fence: number;
};
