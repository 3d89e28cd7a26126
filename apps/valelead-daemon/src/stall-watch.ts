import type {Clock, TimerService} from '@valelead/common';

/** The interval between two checks of the clock, in milliseconds. */
const LOOK_MS = 50;

/** A gap between two checks that counts as a stall, in milliseconds. A crashed upstream takes longer than this to listen again. */
const STALL_MS = 200;

/**
 * Between two checks the process reads everything that is buffered in its sockets. A broken connection may become visible one event-loop iteration
 * after its last data.
 */
const LOOKS_TO_CATCH_UP = 3;

/** Detects that the process was suspended or got no processor time, so that the input it reads afterwards may be stale. */
export class StallWatch {
	readonly #clock: Clock;
	readonly #onStall: (stalledMs: number) => void;
	#lookedAt: number;
	#looksSinceStall = LOOKS_TO_CATCH_UP;

	/** @param onStall - Called when the process continues after a stall, with the length of the stall in milliseconds. */
	constructor(clock: Clock, timers: TimerService, onStall: (stalledMs: number) => void = () => undefined) {
		this.#clock = clock;
		this.#onStall = onStall;
		this.#lookedAt = clock.now();
		timers.repeat(LOOK_MS, () => {
			this.#look();
		});
	}

	/** True if input that the process reads now may have been waiting in its sockets since a stall. */
	get isStalled(): boolean {
		return this.#looksSinceStall < LOOKS_TO_CATCH_UP || this.#hasGap;
	}

	get #hasGap(): boolean {
		return this.#clock.now() - this.#lookedAt > STALL_MS;
	}

	#look(): void {
		const now = this.#clock.now();
		if (this.#hasGap) {
			this.#looksSinceStall = 0;
			this.#onStall(now - this.#lookedAt);
		} else {
			this.#looksSinceStall += 1;
		}

		this.#lookedAt = now;
	}
}
