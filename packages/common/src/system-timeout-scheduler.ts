import type {Wakeups} from './wakeups.js';

/** Schedules timeouts with the timers of the Node runtime. */
export const SYSTEM_TIMEOUT_SCHEDULER: Wakeups = {
	set: (run, delayMs) => setTimeout(run, delayMs),
	clear(handle) {
		clearTimeout(handle as NodeJS.Timeout | undefined);
	},
};
