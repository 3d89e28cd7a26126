import type {Clock} from './clock.js';

/** The shortest gap of the monotonic clock that counts as a suspension, in milliseconds. It is below the safety margin of every lease. */
const MIN_SUSPENSION_MS = 25;

/** Drift between the clocks that does not count as a suspension, in milliseconds per millisecond: twice the maximum slew rate of time services. */
const MAX_DRIFT_MS_PER_MS = 0.001;

/**
 * Detects that the process was suspended together with its machine. The monotonic clock stops during a suspension but the wall clock does not, so a
 * suspension shows as a wall clock that has gained on the monotonic clock. A wall clock that is set forward looks the same; the holder of a lease
 * has to renew it in both cases. A suspension goes unnoticed only if the wall clock is set back by its length at the same moment.
 *
 * Node has no clock that counts suspended time: `CLOCK_BOOTTIME` needs a native module, and in a container `/proc/uptime` belongs to the host.
 */
export class SuspensionWatch {
	readonly #clock: Clock;
	/** The smallest lead of the wall clock over the monotonic clock since the last suspension, plus the permitted drift. */
	#wallLeadMs: number;
	/** When the lead was last computed, in monotonic milliseconds. */
	#checkedAt: number;
	#resumedAt = Number.NEGATIVE_INFINITY;
	#lostMs = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
		this.#checkedAt = clock.now();
		this.#wallLeadMs = clock.wallNow() - this.#checkedAt;
	}

	/**
	 * When the last suspension was detected, in monotonic milliseconds; minus infinity if there was none. Grants and messages from before that time may
	 * be older than the monotonic clock shows. Each call compares the clocks again, which takes about 0.1 µs.
	 */
	get resumedAt(): number {
		this.#check();
		return this.#resumedAt;
	}

	/**
	 * Total time that the monotonic clock has missed in suspensions, in milliseconds; rather overestimated than underestimated. Each call compares the
	 * clocks again.
	 */
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
