/** Schedules the timeouts of a timer service; tests and simulations replace it to control time. */
export type TimeoutScheduler = {
	/** Calls `run` once after a delay in milliseconds. Returns a handle with which the timeout can be cleared. */
	readonly set: (run: () => void, delayMs: number) => unknown;
	readonly clear: (handle: unknown) => void;
};
