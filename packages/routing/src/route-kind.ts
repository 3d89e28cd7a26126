/** What may be repeated of a route's requests, and how they are answered. */
export const ROUTE_KIND = {
	/** Idempotent; may run more than once. */
	Idempotent: 'idempotent',
	/** Runs at most once. */
	Once: 'once',
	/** Answered as a stream of events. */
	Stream: 'stream',
} as const;
