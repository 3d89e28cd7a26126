import {type EngineOrder, ORDER_KIND} from '@valelead/residency';

/** An order that received no response. */
type UnansweredOrder = {
	readonly order: EngineOrder;
	/** The run of the engine to which the order was sent. */
	readonly runId: string;
	/** The engine executes the order only while its order sequence has this value. */
	readonly expectedSequence: number;
	readonly givenAt: number;
};

/** An order without a response may still be executed for this long, in milliseconds; the platform states a delay of up to 12 s. */
const LATE_MS = 15_000;

/**
 * Load orders that received no response. Each order contains the engine's id and its order sequence, but an engine that restarts keeps its id
 * and restarts its sequence, so an order to the previous run may be valid for the next one. An engine fails if it is ordered to load more than
 * fits into its memory, so memory is reserved for such a load until the order sequence of the new run has passed it.
 */
export class UnansweredOrders {
	#orders: UnansweredOrder[] = [];

	note(order: EngineOrder, runId: string, expectedSequence: number, now: number): void {
		if (order.kind === ORDER_KIND.Load) {
			this.#orders.push({
				order, runId, expectedSequence, givenAt: now,
			});
		}
	}

	/** Returns the loads ordered from other runs that the given run, at the given order sequence, may still begin. */
	getPossible(runId: string, sequence: number, now: number): EngineOrder[] {
		this.#orders = this.#orders.filter(({givenAt}) => now - givenAt < LATE_MS);
		return this.#orders.filter(other => other.runId !== runId && other.expectedSequence >= sequence).map(({order}) => order);
	}
}
