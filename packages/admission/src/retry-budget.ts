/** A token bucket that limits the retries of the requests that name it, such as those to one service. */
export type RetryBudget = {
	/** The retries that are left. Each new request adds a fraction of a token. */
	readonly tokens: number;
	/** The time at which the budget receives its initial tokens, in monotonic milliseconds. If the settings name another time, the budget is reset. */
	readonly opensAt: number;
	/** True if the budget has received its initial tokens. */
	readonly isOpened: boolean;
	/** The retries that were charged to the budget; those charged before it opens are subtracted from its initial tokens. */
	readonly spent: number;
};
