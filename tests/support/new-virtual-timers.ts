import {TimerService, type TimeoutScheduler} from '@valelead/common';
import type {VirtualTime} from './virtual-time.js';

type Wakeup = {
	isCancelled: boolean;
};

const newWakeups = (time: VirtualTime): TimeoutScheduler => ({
	set(run, delayMs) {
		const wakeup: Wakeup = {isCancelled: false};
		time.after(delayMs, () => {
			if (!wakeup.isCancelled) {
				run();
			}
		});
		return wakeup;
	},
	clear(handle) {
		if (handle) {
			(handle as Wakeup).isCancelled = true;
		}
	},
});

/** The timer service over time that passes only when a test says so. */
export const newVirtualTimers = (time: VirtualTime): TimerService => new TimerService({now: () => time.now, wallNow: () => time.now}, newWakeups(time));
