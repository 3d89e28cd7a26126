import type {Clock, TimerService, TimerSubscription} from '@valelead/common';

/** The interval between two checks of the clock, in milliseconds. */
const CHECK_INTERVAL_MS = 50;

/** The longest gap between two checks that counts as running, in milliseconds; the rest of a longer one is a stall. */
const MAX_GAP_MS = 200;

/**
 * Measures the time in which this process runs. A peer that is given so much running time to be heard is not taken for silent because of a stall: what it
 * sent meanwhile waits in the sockets, and a large message takes several round trips of flow control before it can be read whole.
 */
export class RunningTime {
	readonly #clock: Clock;
	readonly #timers: TimerService;
	#checks: TimerSubscription | undefined;
	#checkedAt: number;
	#elapsedMs = 0;

	constructor(clock: Clock, timers: TimerService) {
		this.#clock = clock;
		this.#timers = timers;
		this.#checkedAt = clock.now();
	}

	start(): void {
		this.#checks = this.#timers.repeat(CHECK_INTERVAL_MS, () => {
			this.#check();
		});
	}

	stop(): void {
		this.#checks?.cancel();
	}

	/** Running time since the last restart, in milliseconds. */
	get elapsedMs(): number {
		return this.#elapsedMs + Math.min(this.#clock.now() - this.#checkedAt, MAX_GAP_MS);
	}

	restart(): void {
		this.#elapsedMs = 0;
		this.#checkedAt = this.#clock.now();
	}

	#check(): void {
		this.#elapsedMs = this.elapsedMs;
		this.#checkedAt = this.#clock.now();
	}
}
