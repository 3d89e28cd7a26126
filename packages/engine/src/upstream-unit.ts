/** A unit in an engine's own inventory. */
export type UpstreamUnit = {
	readonly unit: string;
	readonly state: 'loading' | 'ready';
	readonly memoryBytes: number;
};
