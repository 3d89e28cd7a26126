/** A unit that an engine reports as loading or ready. */
export type UpstreamUnit = {
	readonly unit: string;
	readonly state: 'loading' | 'ready';
	readonly memoryBytes: number;
};
