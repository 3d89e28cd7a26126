import type {TimerService} from '@valelead/common';

/** Waits for a promise and rejects with `error` if it takes longer than `timeoutMs`. The promise itself is not cancelled. */
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
