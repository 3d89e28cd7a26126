/** A limit that an upstream has named. */
type AnnouncedLimit = {
	/** Requests a second from all processes together. */
	readonly perSecond: number;
	/** When an answer named it last, in monotonic milliseconds. */
	readonly namedAt: number;
};

/** The limits that upstreams have named, by run of the upstream. */
export type LimitBook = Map<string, AnnouncedLimit>;
