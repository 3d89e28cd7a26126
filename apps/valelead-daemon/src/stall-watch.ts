import type {Clock, TimerService} from '@valelead/common';

/** Between two looks, in milliseconds. */
const LOOK_MS = 50;

/** A gap between looks that counts as a stall, in milliseconds; an upstream that crashed takes longer to listen again. */
const STALL_MS = 200;

/** Between two looks the process reads all that lies in its sockets; a broken connection may show a turn after the last of its data. */
const LOOKS_TO_CATCH_UP = 3;

/** Notices that the process stood still, or got no processor time, so that what it takes now may have happened a while ago. */
export class StallWatch {
	readonly #clock: Clock;
	readonly #onStall: (stalledMs: number) => void;
	#lookedAt: number;
	#looksSinceStall = LOOKS_TO_CATCH_UP;

	/** @param onStall - Hears for how long the process stood still, once it goes on. */
	constructor(clock: Clock, timers: TimerService, onStall: (stalledMs: number) => void = () => undefined) {
		this.#clock = clock;
		this.#onStall = onStall;
		this.#lookedAt = clock.now();
		timers.repeat(LOOK_MS, () => {
			this.#look();
		});
	}

	/** Whether what comes now may have waited for this process. */
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
