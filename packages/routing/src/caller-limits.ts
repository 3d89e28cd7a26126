/** The limits on the size of a caller's request, and the timeouts of its connection. Times in milliseconds. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};
