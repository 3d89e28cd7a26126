import type {Clock} from '@valelead/common';

/** A lower number of gateways is believed after this time, in milliseconds. */
const COUNT_PATIENCE_MS = 20_000;

/** How many gateways share budgets, this one among them, as leaders tell. */
export class GatewayCount {
	readonly #clock: Clock;
	#value = 1;
	/** When the number was last believed. */
	#believedAt = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	get value(): number {
		return this.#value;
	}

	/** Takes a leader's number. One that has just been elected has not heard all gateways yet, so a lower number is believed only after a while. */
	take(count: number): void {
		const now = this.#clock.now();
		if (count >= this.#value || now - this.#believedAt > COUNT_PATIENCE_MS) {
			this.#value = Math.max(1, count);
			this.#believedAt = now;
		}
	}
}
