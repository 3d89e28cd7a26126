import type {TimerService} from '@valelead/common';

/** Waits for a promise and rejects with the error of `newError` if it takes longer than `timeoutMs`. The promise itself is not cancelled. */
export const withTimeout = async <Value>(promise: Promise<Value>, timers: TimerService, timeoutMs: number, newError: () => Error): Promise<Value> => new Promise((resolve, reject) => {
	const timer = timers.after(timeoutMs, () => {
		reject(newError());
	});
	const settle = async (): Promise<void> => {
		try {
			resolve(await promise);
		} catch (error) {
			reject(error instanceof Error ? error : new Error(String(error)));
		} finally {
			timer.cancel();
		}
	};

	void settle();
});
