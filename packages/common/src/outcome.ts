/** What is known of a request's execution when its answer is given. */
export const OUTCOME = {
	NotRun: 'not_run',
	Unknown: 'unknown',
	Ran: 'ran',
} as const;
