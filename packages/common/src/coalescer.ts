import type {TimerService} from './timer-service.js';

/** Coalesces calls: runs a function once for all calls that arrive within a delay after the first one. */
export class Coalescer {
	readonly #timers: TimerService;
	readonly #getWaitMs: () => number;
	readonly #run: (now: number) => void;
	#isScheduled = false;

	/** @param waitMs - Delay from the first call to the run, in milliseconds; a function if the delay varies. */
	constructor(timers: TimerService, waitMs: number | (() => number), run: (now: number) => void) {
		this.#timers = timers;
		this.#getWaitMs = typeof waitMs === 'number' ? () => waitMs : waitMs;
		this.#run = run;
	}

	/** Schedules a run, unless one is already scheduled. */
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
