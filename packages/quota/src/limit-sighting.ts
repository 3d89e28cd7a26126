/** What an answer of an upstream said of the requests that it takes. */
export type LimitSighting = {
	readonly upstreamId: string;
	/** Requests a second from all processes together; undefined where the answer named no limit. */
	readonly perSecond: number | undefined;
	/** When it was seen, in monotonic milliseconds of whoever takes it. */
	readonly at: number;
};
