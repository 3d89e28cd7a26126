import type {Clock} from '@valelead/common';
import type {EngineOrder} from '@valelead/residency';

/** Between the word that a model goes and the order: gateways stop sending for it, in milliseconds. */
const NOTICE_MS = 30;

/** Tells gateways that a model or adapter is about to go some time before it does. */
export class UnloadNotice {
	readonly #clock: Clock;
	#order: EngineOrder | undefined;
	#since = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** What is about to go. */
	get order(): EngineOrder | undefined {
		return this.#order;
	}

	/** When to look again whether the order may be given, in milliseconds; 0 once gateways were told long enough ago. */
	get waitMs(): number {
		return this.#clock.now() - this.#since >= NOTICE_MS ? 0 : NOTICE_MS;
	}

	/** Begins the notice of an order, unless it has begun; returns whether it did. */
	begin(order: EngineOrder): boolean {
		if (this.#order?.model === order.model && this.#order.adapter === order.adapter) {
			return false;
		}

		this.#order = order;
		this.#since = this.#clock.now();
		return true;
	}

	end(): void {
		this.#order = undefined;
	}
}
