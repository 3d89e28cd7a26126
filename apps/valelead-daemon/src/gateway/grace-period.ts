/** The time between a stop signal and the moment at which what is still in progress is broken off, in monotonic milliseconds. */
export type GracePeriod = {
	readonly startedAt: number;
	readonly endsAt: number;
};
