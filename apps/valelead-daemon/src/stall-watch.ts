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
	#lookedAt: number;
	#looksSinceStall = LOOKS_TO_CATCH_UP;

	constructor(clock: Clock, timers: TimerService) {
		this.#clock = clock;
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
		this.#looksSinceStall = this.#hasGap ? 0 : this.#looksSinceStall + 1;
		this.#lookedAt = this.#clock.now();
	}
}
