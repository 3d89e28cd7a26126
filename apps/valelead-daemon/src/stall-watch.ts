import type {Clock, TimerService} from '@valelead/common';

/** Between two looks, in milliseconds. */
const LOOK_MS = 50;

/** A gap between looks that counts as a stall, in milliseconds; an upstream that crashed takes longer to listen again. */
const STALL_MS = 200;

/** What waited for the process during a stall has been taken after this time, in milliseconds. */
const AFTERMATH_MS = 100;

/** Notices that the process stood still, or got no processor time, so that what it takes now may have happened a while ago. */
export class StallWatch {
	readonly #clock: Clock;
	#lookedAt: number;
	#resumedAt = Number.NEGATIVE_INFINITY;

	constructor(clock: Clock, timers: TimerService) {
		this.#clock = clock;
		this.#lookedAt = clock.now();
		timers.repeat(LOOK_MS, () => {
			this.#look();
		});
	}

	/** Whether what comes now may have waited for this process. */
	get isStalled(): boolean {
		this.#look();
		return this.#clock.now() - this.#resumedAt <= AFTERMATH_MS;
	}

	#look(): void {
		const now = this.#clock.now();
		if (now - this.#lookedAt > STALL_MS) {
			this.#resumedAt = now;
		}

		this.#lookedAt = now;
	}
}
