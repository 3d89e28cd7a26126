import type {Clock, TimerService} from '@valelead/common';

type LostAttempt = {
	readonly runId: string;
	/** Whether the upstream is known to have crashed already. */
	readonly isCrashed: boolean;
	/** The longest time that the attempt is held, in milliseconds. */
	readonly mostMs: number;
	/** Given where no gateway may send by what it knew before: what is left then of the longest time, in milliseconds. */
	readonly getMoreMs?: () => number;
};

type HeldLoss = {
	readonly runId: string;
	/** When the crash was noted, in monotonic milliseconds; undefined until the upstream is known to have crashed. */
	crashedAt: number | undefined;
	/** Whether it is held until no gateway sends by what it knew before the crash. */
	readonly isStrict: boolean;
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
	hold({runId, isCrashed, mostMs, getMoreMs}: LostAttempt, release: (isAlive: boolean) => void): void {
		const loss: HeldLoss = {
			runId, crashedAt: isCrashed ? this.#clock.now() : undefined, isStrict: getMoreMs !== undefined, release,
		};
		this.#held.add(loss);
		this.#releaseAfter(loss, mostMs, getMoreMs);
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

	/** Takes that the gateways that are heard know of the crashes that were noted until a time, in monotonic milliseconds. */
	noteKnown(until: number): void {
		this.#releaseUntil(until, false);
	}

	/** Takes that no gateway sends by what it knew before the crashes that were noted until a time, in monotonic milliseconds. */
	noteObeyed(until: number): void {
		this.#releaseUntil(until, true);
	}

	#releaseUntil(until: number, isObeyed: boolean): void {
		for (const loss of this.#held) {
			if (loss.crashedAt !== undefined && loss.crashedAt <= until && (isObeyed || !loss.isStrict)) {
				this.#release(loss);
			}
		}
	}

	/** The leader may be heard again meanwhile, and then waits for other gateways longer. */
	#releaseAfter(loss: HeldLoss, ms: number, getMoreMs: () => number = () => 0): void {
		this.#timers.after(ms, () => {
			const moreMs = this.#held.has(loss) ? getMoreMs() : 0;
			if (moreMs > 0) {
				this.#releaseAfter(loss, moreMs, getMoreMs);
			} else {
				this.#release(loss);
			}
		});
	}

	#release(loss: HeldLoss, isAlive = false): void {
		if (this.#held.delete(loss)) {
			loss.release(isAlive);
		}
	}
}
