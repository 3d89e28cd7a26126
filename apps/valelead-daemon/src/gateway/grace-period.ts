/** The time from a stop signal until requests that are still in progress are aborted, in monotonic milliseconds. */
export type GracePeriod = {
	readonly startedAt: number;
	readonly endsAt: number;
};
