import type {Clock} from '@valelead/common';

/** A gateway that sends no report for this time no longer counts among the gateways that share budgets, in milliseconds. */
const GATEWAY_SILENCE_MS = 5000;

/** Counts the live gateways, among which the leader divides shared budgets. */
export class GatewayRegistry {
	readonly #clock: Clock;
	/** Time of the last report of each gateway, by VM. */
	readonly #heardAt = new Map<string, number>();

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** Records a report of the gateway on a VM. */
	noteReport(vm: string): void {
		this.#heardAt.set(vm, this.#clock.now());
	}

	/** Number of live gateways. Every update to every follower carries this number, so reading it does not scan the gateways. */
	get count(): number {
		return this.#heardAt.size;
	}

	/** Removes gateways whose last report is too old. Must be called at an interval well below `GATEWAY_SILENCE_MS`. */
	removeSilent(): void {
		const now = this.#clock.now();
		for (const [vm, heardAt] of this.#heardAt) {
			if (now - heardAt >= GATEWAY_SILENCE_MS) {
				this.#heardAt.delete(vm);
			}
		}
	}
}
