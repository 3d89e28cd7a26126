import type {TimerService} from './timer-service.js';

/** Runs something once for all calls that come within a time. */
export class Coalescer {
	readonly #timers: TimerService;
	readonly #getWaitMs: () => number;
	readonly #run: (now: number) => void;
	#isScheduled = false;

	/** @param waitMs - How long the first call waits for others, in milliseconds; a function where that varies. */
	constructor(timers: TimerService, waitMs: number | (() => number), run: (now: number) => void) {
		this.#timers = timers;
		this.#getWaitMs = typeof waitMs === 'number' ? () => waitMs : waitMs;
		this.#run = run;
	}

	schedule(): void {
		if (this.#isScheduled) {
			return;
		}

		this.#isScheduled = true;
		this.#timers.after(this.#getWaitMs(), now => {
			this.#isScheduled = false;
			this.#run(now);
		});
	}
}
