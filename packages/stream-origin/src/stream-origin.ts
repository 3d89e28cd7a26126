/** Where a stream began. It never changes, so that a record of it is either right or missing. */
export type StreamOrigin = {
	readonly service: string;
	/** The version of the upstream's software; empty if unknown. */
	readonly softwareVersion: string;
	/** The id of the upstream's run. */
	readonly runId: string;
};
