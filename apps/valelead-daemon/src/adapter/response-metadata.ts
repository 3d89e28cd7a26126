/** The platform-specific fields in the head of an upstream's response. */
export type ResponseMetadata = {
	/** The id of the request that the response belongs to. */
	readonly requestId: string;
	/** True if the upstream states that it did not execute the request. */
	readonly isNotExecuted: boolean;
	/** True if the response came from another run of the upstream, or from another upstream at the same address. */
	readonly isOtherUpstream: boolean;
	/** The request rate, in requests per second, that the upstream accepts from all callers together; undefined if it states no limit. */
	readonly limitPerSecond: number | undefined;
};
