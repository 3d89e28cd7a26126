import type {Clock, TimerService} from '@valelead/common';

type LostAttempt = {
	readonly runId: string;
	/** Whether the upstream is known to have crashed already. */
	readonly isCrashed: boolean;
	/** The longest time that the attempt is held, in milliseconds. */
	readonly mostMs: number;
};

type HeldLoss = {
	readonly runId: string;
	/** When the crash was noted, in monotonic milliseconds; undefined until the upstream is known to have crashed. */
	crashedAt: number | undefined;
	readonly release: (isAlive: boolean) => void;
};

/**
 * Attempts that lost their upstream, held until all gateways know what the crash says of their requests. A caller that hears of its loss sends its next
 * try to any gateway, and a retry risks another upstream.
 */
export class HeldLosses {
	readonly #timers: TimerService;
	readonly #clock: Clock;
	readonly #held = new Set<HeldLoss>();

	constructor(timers: TimerService, clock: Clock) {
		this.#timers = timers;
		this.#clock = clock;
	}

	/** @param release - Hears whether the upstream was found alive, so that its connections broke alone. */
	hold({runId, isCrashed, mostMs}: LostAttempt, release: (isAlive: boolean) => void): void {
		const loss: HeldLoss = {runId, crashedAt: isCrashed ? this.#clock.now() : undefined, release};
		this.#held.add(loss);
		this.#timers.after(mostMs, () => {
			this.#release(loss);
		});
	}

	/** Takes that an upstream has crashed. */
	noteCrash(runId: string): void {
		for (const loss of this.#held) {
			if (loss.runId === runId) {
				loss.crashedAt ??= this.#clock.now();
			}
		}
	}

	/** Takes that an upstream is there: its connections broke alone. */
	noteAlive(runId: string): void {
		for (const loss of this.#held) {
			if (loss.runId === runId && loss.crashedAt === undefined) {
				this.#release(loss, true);
			}
		}
	}

	/** Takes that all gateways know of the crashes that were noted until a time, in monotonic milliseconds. */
	noteKnown(until: number): void {
		for (const loss of this.#held) {
			if (loss.crashedAt !== undefined && loss.crashedAt <= until) {
				this.#release(loss);
			}
		}
	}

	#release(loss: HeldLoss, isAlive = false): void {
		if (this.#held.delete(loss)) {
			loss.release(isAlive);
		}
	}
}
