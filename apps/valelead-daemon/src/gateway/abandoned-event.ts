/** The log events of attempts that a gateway ends before their response is complete. */
export const ABANDONED_EVENT = {
	/** No caller waits for the response any more. */
	Cancelled: 'attempt-cancelled',
	/** The upstream has not begun its response in time. */
	Overdue: 'attempt-overdue',
} as const;
