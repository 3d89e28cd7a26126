import type {Clock} from './clock.js';

/** Time that the monotonic clock may miss before that counts as a suspension, in milliseconds; under the margin of every lease. */
const MIN_SUSPENSION_MS = 25;

/** How fast the clocks may part without a suspension, in milliseconds a millisecond: twice the most that time services slew. */
const MAX_DRIFT_MS_PER_MS = 0.001;

/**
 * Notices that the process was suspended together with its machine. The monotonic clock stands still then and the time of day does not, so a time of
 * day that gains on the monotonic clock shows it. A time of day that is set forward looks the same; whoever holds something for a time confirms
 * it anew in both cases. One that is set back by as much as the suspension lasted hides it, and has to fall into the same moment.
 *
 * Node offers no clock that goes on: `CLOCK_BOOTTIME` needs a native module, and `/proc/uptime` is the host's where a machine is a container.
 */
export class SuspensionWatch {
	readonly #clock: Clock;
	/** The least by which the time of day was ahead of the monotonic clock, with the drift since allowed for, and when that was worked out. */
	#wallLeadMs: number;
	#checkedAt: number;
	#resumedAt = Number.NEGATIVE_INFINITY;
	#lostMs = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#checkedAt = clock.now();
		this.#wallLeadMs = clock.wallNow() - this.#checkedAt;
	}

	/**
	 * When the last suspension was noticed, in monotonic milliseconds; minus infinity before the first. What was granted or sent before may be
	 * older than the monotonic clock shows. Each call looks anew, at some 0.1 µs.
	 */
	get resumedAt(): number {
		this.#check();
		return this.#resumedAt;
	}

	/** Time that the monotonic clock has missed in all, in milliseconds; too much rather than too little. Each call looks anew. */
	get lostMs(): number {
		this.#check();
		return this.#lostMs;
	}

	#check(): void {
		const now = this.#clock.now();
		const leadMs = this.#clock.wallNow() - now;
		const allowedMs = this.#wallLeadMs + ((now - this.#checkedAt) * MAX_DRIFT_MS_PER_MS);
		this.#checkedAt = now;
		if (leadMs - allowedMs > MIN_SUSPENSION_MS) {
			this.#resumedAt = now;
			this.#lostMs += leadMs - this.#wallLeadMs;
			this.#wallLeadMs = leadMs;
		} else {
			this.#wallLeadMs = Math.min(leadMs, allowedMs);
		}
	}
}
