import type {Clock} from '@valelead/common';
import type {EngineOrder} from '@valelead/residency';

/** The time between the announcement of an unload and the order, in milliseconds, in which gateways stop sending requests for the model. */
const NOTICE_MS = 30;

/** Delays an unload until gateways have had time to stop sending requests for the model or adapter. */
export class UnloadNotice {
	readonly #clock: Clock;
	#order: EngineOrder | undefined;
	#since = 0;

	constructor(clock: Clock) {
		this.#clock = clock;
	}

	/** The announced unload; undefined if there is none. */
	get order(): EngineOrder | undefined {
		return this.#order;
	}

	/** The time to wait before the order may be sent, in milliseconds; 0 once the unload was announced long enough ago. */
	get waitMs(): number {
		return this.#clock.now() - this.#since >= NOTICE_MS ? 0 : NOTICE_MS;
	}

	/** Announces an unload unless it is already announced. Returns true if the announcement is new. */
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
