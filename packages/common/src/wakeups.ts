/** Where a timer service gets its wake-ups from. */
export type Wakeups = {
	/** Calls back once after a delay in milliseconds; returns a handle. */
	readonly set: (run: () => void, delayMs: number) => unknown;
	readonly clear: (handle: unknown) => void;
};
