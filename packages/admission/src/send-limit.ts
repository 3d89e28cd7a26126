/** This entry's part of the request rate limit that an upstream applies to all entries together. */
export type SendLimit = {
	/** The number of requests that this entry may send now. */
	readonly sends: number;
	/** The number of requests per second that this entry can expect to send; at most the upstream's limit for all entries together. */
	readonly perSecond: number;
};
