/** The software versions that upstreams of each service have had lately. */
export type VersionHistory = {
	/** When the last upstream of each version left, in monotonic milliseconds, by service and version; infinite while there is one. */
	readonly leftAt: Map<string, Map<string, number>>;
};
