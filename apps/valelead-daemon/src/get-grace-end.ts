const MS_PER_SECOND = 1000;

/**
 * End of the platform's grace period that is reserved for the shutdown, in milliseconds, and as a share of a short one: requests in progress are aborted this
 * long before its end, which must lie in the last sixth of the period. Closing the servers and writing the last log lines take about 20 ms.
 */
const SHUTDOWN_RESERVE_MS = 250;
const SHUTDOWN_RESERVE_SHARE = 1 / 8;

/** Returns the time at which a stopping process aborts what is still in progress, in milliseconds like the time of its stop signal. */
export const getGraceEnd = (stoppedAt: number, graceSeconds: number): number => {
	const graceMs = graceSeconds * MS_PER_SECOND;
	return stoppedAt + graceMs - Math.min(SHUTDOWN_RESERVE_MS, graceMs * SHUTDOWN_RESERVE_SHARE);
};
