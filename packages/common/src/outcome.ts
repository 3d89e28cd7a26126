/** States whether a request has run on an upstream, as far as this is known when its response is sent. */
export const OUTCOME = {
	NotRun: 'not_run',
	Unknown: 'unknown',
	Ran: 'ran',
} as const;
