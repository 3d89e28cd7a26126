import type {Clock, TimerService, TimerSubscription} from '@valelead/common';

type SchedulerOptions = {
	readonly timers: TimerService;
	readonly clock: Clock;
	/** The minimum time between the starts of two rounds, in milliseconds. */
	readonly minIntervalMs: number;
	/** Runs one round and returns the time until the next one, in milliseconds. */
	readonly runRound: () => Promise<number>;
};

/** Runs planning rounds one at a time: each at the time that the previous round returned, or earlier if `wake` is called. */
export class RoundScheduler {
	readonly #parts: SchedulerOptions;
	#timer: TimerSubscription | undefined;
	#startedAt = Number.NEGATIVE_INFINITY;
	#isRunning = false;
	/** True if `wake` was called during the current round. */
	#isWoken = false;
	#isStopped = false;

	constructor(parts: SchedulerOptions) {
		this.#parts = parts;
	}

	get isStopped(): boolean {
		return this.#isStopped;
	}

	stop(): void {
		this.#isStopped = true;
		this.#timer?.cancel();
	}

	/** Starts the next round as soon as the minimum interval and the round in progress allow. */
	wake(): void {
		if (this.#isRunning) {
			this.#isWoken = true;
			return;
		}

		this.#runAfter(0);
	}

	#runAfter(waitMs: number): void {
		this.#timer?.cancel();
		const minWaitMs = this.#startedAt + this.#parts.minIntervalMs - this.#parts.clock.now();
		const dueMs = Math.max(waitMs, minWaitMs);
		if (dueMs <= 0) {
			void this.#run();
			return;
		}

		this.#timer = this.#parts.timers.after(dueMs, () => {
			void this.#run();
		});
	}

	async #run(): Promise<void> {
		if (this.#isStopped) {
			return;
		}

		this.#isRunning = true;
		this.#isWoken = false;
		this.#startedAt = this.#parts.clock.now();
		const waitMs = await this.#parts.runRound();
		this.#isRunning = false;
		this.#runAfter(this.#isWoken ? 0 : waitMs);
	}
}
