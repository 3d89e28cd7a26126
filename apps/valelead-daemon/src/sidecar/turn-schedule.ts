import type {Clock, TimerService, TimerSubscription} from '@valelead/common';

type ScheduleParts = {
	readonly timers: TimerService;
	readonly clock: Clock;
	/** The least time between the beginnings of two turns, in milliseconds. */
	readonly leastMs: number;
	/** Takes a turn and returns when the next one is due, in milliseconds. */
	readonly takeTurn: () => Promise<number>;
};

/** Takes turns one after the other: when the last one said, or at once when something has happened. */
export class TurnSchedule {
	readonly #parts: ScheduleParts;
	#timer: TimerSubscription | undefined;
	#startedAt = Number.NEGATIVE_INFINITY;
	#isRunning = false;
	/** Whether something has happened during the present turn. */
	#isAgain = false;
	#isStopped = false;

	constructor(parts: ScheduleParts) {
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
			this.#isAgain = true;
			return;
		}

		this.#runAfter(0);
	}

	#runAfter(waitMs: number): void {
		this.#timer?.cancel();
		const restMs = this.#startedAt + this.#parts.leastMs - this.#parts.clock.now();
		const dueMs = Math.max(waitMs, restMs);
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
		this.#isAgain = false;
		this.#startedAt = this.#parts.clock.now();
		const waitMs = await this.#parts.takeTurn();
		this.#isRunning = false;
		this.#runAfter(this.#isAgain ? 0 : waitMs);
	}
}
