/** An order to an engine. */
export type UpstreamOrder = {
	readonly unit: string;
	readonly memoryBytes: number;
	/** Fencing number: the revision of the grant. */
	readonly fence: number;
};
