/** The kinds of routes, which determine whether a request may run more than once and whether its response is a stream. */
export const ROUTE_KIND = {
	/** Requests are idempotent and may run more than once. */
	Idempotent: 'idempotent',
	/** Requests must run at most once. */
	Once: 'once',
	/** Requests are answered with a stream of server-sent events. */
	Stream: 'stream',
} as const;
