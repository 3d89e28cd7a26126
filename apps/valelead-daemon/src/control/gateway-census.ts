import type {Clock} from '@valelead/common';
import type {GatewayLeases} from './gateway-leases.js';

type CensusParts = {
	readonly clock: Clock;
	/** What followers tell of the gateways that an earlier leader counted, and for how long this voter has led. */
	readonly leases: Pick<GatewayLeases, 'expectedCount' | 'ledForMs'>;
};

/** A gateway that was silent for longer does not count among those that share budgets, in milliseconds. */
const GATEWAY_SILENCE_MS = 5000;

/** Gateways that an earlier leader counted count for this time of a leadership, in milliseconds: some may find the leader late. */
const EXPECTED_MS = 20_000;

/** Where no follower knows a number, as all have just started, a leader counts for this long before it tells one, in milliseconds. */
const SETTLE_MS = 3000;

/** Counts, as the leader, the gateways that share budgets. */
export class GatewayCensus {
	readonly #parts: CensusParts;
	/** When each gateway was last heard, by VM. */
	readonly #heardAt = new Map<string, number>();

	constructor(parts: CensusParts) {
		this.#parts = parts;
	}

	/** Takes that a gateway was heard. */
	note(vm: string): void {
		this.#heardAt.set(vm, this.#parts.clock.now());
	}

	/** The gateways that share budgets; 0 while that is not known. */
	get count(): number {
		this.#forgetSilent();
		const {expectedCount, ledForMs} = this.#parts.leases;
		// A follower that knows of no other gateway may never have been told.
		const isExpectationKnown = expectedCount > 1;
		if (isExpectationKnown && ledForMs < EXPECTED_MS) {
			return Math.max(this.#heardAt.size, expectedCount);
		}

		return ledForMs < SETTLE_MS ? 0 : this.#heardAt.size;
	}

	#forgetSilent(): void {
		const now = this.#parts.clock.now();
		for (const [vm, heardAt] of this.#heardAt) {
			if (now - heardAt >= GATEWAY_SILENCE_MS) {
				this.#heardAt.delete(vm);
			}
		}
	}
}
