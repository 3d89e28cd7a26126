import type {Wakeups} from './wakeups.js';

/** The runtime's own timers. */
export const SYSTEM_TIMEOUT_SCHEDULER: Wakeups = {
	set: (run, delayMs) => setTimeout(run, delayMs),
	clear(handle) {
		clearTimeout(handle as NodeJS.Timeout | undefined);
	},
};
