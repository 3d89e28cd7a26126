import {type EngineOrder, ORDER_KIND} from '@valelead/residency';

/** An order that was left without an answer. */
type UnansweredOrder = {
	readonly order: EngineOrder;
	/** The run that it was given to. */
	readonly runId: string;
	/** The count of orders at which it is carried out. */
	readonly expectedSequence: number;
	readonly givenAt: number;
};

/** An order without an answer may be carried out this much later, in milliseconds: the platform names up to 12 s. */
const LATE_MS = 15_000;

/**
 * Loads that were ordered without an answer. Each names the engine and its count of orders, but an engine that starts again has the id
 * that it had and counts anew, so that an order to the run before may fit the next one. An engine that is ordered beyond its memory
 * fails, so room is left for such a load until the count has passed it.
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

	/** The loads ordered from earlier runs that a run which has taken this many orders may still begin. */
	getPossible(runId: string, sequence: number, now: number): EngineOrder[] {
		this.#orders = this.#orders.filter(({givenAt}) => now - givenAt < LATE_MS);
		return this.#orders.filter(other => other.runId !== runId && other.expectedSequence >= sequence).map(({order}) => order);
	}
}
