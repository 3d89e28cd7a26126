import {TimerService} from '@valelead/common';
import type {VirtualProcess} from './virtual-process.js';
import type {VirtualTime} from './virtual-time.js';

type Handle = {
	isCancelled: boolean;
};

/** The timer service of a process that may stand still: what falls due meanwhile fires once it goes on. */
export const newProcessTimers = (time: VirtualTime, process: VirtualProcess): TimerService => new TimerService({now: () => time.now, wallNow: () => time.now}, {
	set(run, delayMs) {
		const handle: Handle = {isCancelled: false};
		time.after(delayMs, () => {
			process.take(() => {
				if (!handle.isCancelled) {
					run();
				}
			});
		});
		return handle;
	},
	clear(handle) {
		if (handle) {
			(handle as Handle).isCancelled = true;
		}
	},
});
