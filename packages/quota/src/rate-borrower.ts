import type {Rate} from './rate.js';

/** Rate loans of a process in one session with the leader. */
export type RateBorrower = {
	/** Rates by subject, with the time of the last report on them in monotonic milliseconds. */
	readonly rates: Map<string, {held: Rate; reportedAt: number; max: Rate | undefined}>;
	/** True once the rate loans have expired. The session then gets no others, as the process may return the expired ones late. */
	hasEnded: boolean;
	/** When all rate loans of the process have expired, in monotonic milliseconds. */
	expiresAt: number;
};
