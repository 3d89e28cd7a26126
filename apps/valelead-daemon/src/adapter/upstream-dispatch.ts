/** The fields that a gateway adds to a request before it sends the request to an upstream. */
export type UpstreamDispatch = {
	/** The id of the upstream that the request is for, as the upstream reports it; any other upstream at the address refuses the request. */
	readonly instanceId: string;
	readonly remainingMs: number;
	/** Request priority, from 0 (most urgent) to 9 (least urgent). */
	readonly priority: number;
	/** The name of the caller's team; empty if it has none. */
	readonly team: string;
	/** The id of the last event that the caller received; undefined unless the request resumes a stream. */
	readonly lastEventId: string | undefined;
};
