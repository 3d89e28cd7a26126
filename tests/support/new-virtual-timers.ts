import type {TimerService} from '@valelead/common';
import type {VirtualTime} from './virtual-time.js';

const ignore = (): void => undefined;

/** A timer service whose time passes only when a test says so. */
export const newVirtualTimers = (time: VirtualTime): TimerService => {
	const repeat = (periodMs: number, callback: (now: number) => void): {cancel: () => void} => {
		let isCancelled = false;
		const again = (): void => {
			time.after(periodMs, () => {
				if (!isCancelled) {
					callback(time.now);
					again();
				}
			});
		};

		again();
		return {
			cancel() {
				isCancelled = true;
			},
		};
	};

	return {
		repeat,
		after(delayMs: number, callback: (now: number) => void) {
			time.after(delayMs, () => {
				callback(time.now);
			});
			return {cancel: ignore};
		},
		async wait(delayMs: number) {
			return new Promise<void>(resolve => {
				time.after(delayMs, resolve);
			});
		},
	} as unknown as TimerService;
};
