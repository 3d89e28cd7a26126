/** An order to an engine to load or unload a unit. */
export type UpstreamOrder = {
	readonly unit: string;
	readonly memoryBytes: number;
	/** Fencing token: the newest configuration revision that the agent has applied. */
	readonly fence: number;
};
