import type {Clock, TimerService, TimerSubscription} from '@valelead/common';

type SchedulerOptions = {
	readonly timers: TimerService;
	readonly clock: Clock;
	/** The least time between the beginnings of two turns, in milliseconds. */
	readonly minIntervalMs: number;
	/** Takes a turn and returns when the next one is due, in milliseconds. */
	readonly runRound: () => Promise<number>;
};

/** Takes turns one after the other: when the last one said, or at once when something has happened. */
export class RoundScheduler {
	readonly #parts: SchedulerOptions;
	#timer: TimerSubscription | undefined;
	#startedAt = Number.NEGATIVE_INFINITY;
	#isRunning = false;
	/** Whether something has happened during the present turn. */
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

	/** The next turn is due at once. */
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
