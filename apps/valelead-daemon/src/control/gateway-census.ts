import type {Clock} from '@valelead/common';

/** A gateway that was silent for longer does not count among those that share budgets, in milliseconds. */
const GATEWAY_SILENCE_MS = 5000;

/** Counts, as the leader, the gateways that share budgets. */
export class GatewayCensus {
	readonly #clock: Clock;
	/** When each gateway was last heard, by VM. */
	readonly #heardAt = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Takes that a gateway was heard. */
	note(vm: string): void {
		this.#heardAt.set(vm, this.#clock.now());
	}

	/** Gateways that were heard and not forgotten since. Every update of every follower carries it. */
	get count(): number {
		return this.#heardAt.size;
	}

	/** Forgets gateways that were silent for long; called often against that time. */
	forgetSilent(): void {
		const now = this.#clock.now();
		for (const [vm, heardAt] of this.#heardAt) {
			if (now - heardAt >= GATEWAY_SILENCE_MS) {
				this.#heardAt.delete(vm);
			}
		}
	}
}
