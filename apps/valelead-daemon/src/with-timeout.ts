import type {TimerService} from '@valelead/common';

/** The result of a promise, or the error if it takes longer. The promise itself goes on. */
export const withTimeout = async <Value>(promise: Promise<Value>, timers: TimerService, timeoutMs: number, error: Error): Promise<Value> => new Promise((resolve, reject) => {
	const timer = timers.after(timeoutMs, () => {
		reject(error);
	});
	const settle = async (): Promise<void> => {
		try {
			resolve(await promise);
		} catch (error_) {
			reject(error_ instanceof Error ? error_ : new Error(String(error_)));
		} finally {
			timer.cancel();
		}
	};

	void settle();
});
