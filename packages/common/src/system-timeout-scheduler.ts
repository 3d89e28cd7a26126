import type {TimeoutScheduler} from './timeout-scheduler.js';

/** Schedules timeouts with the timers of the Node runtime. */
export const SYSTEM_TIMEOUT_SCHEDULER: TimeoutScheduler = {
	set: (run, delayMs) => setTimeout(run, delayMs),
	clear(handle) {
		clearTimeout(handle as NodeJS.Timeout | undefined);
	},
};
