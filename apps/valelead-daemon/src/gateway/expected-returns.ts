import type {Demand} from './demand.js';

/** Callers may come back a little later than they were told, in milliseconds. */
const LATE_MS = 500;

type ExpectedReturn = {
	readonly demand: Demand;
	/** When nobody is waited for any more, in monotonic milliseconds. */
	readonly endsAt: number;
};

/**
 * Requests that were refused and told when to come back. Their models are loaded meanwhile: without them a model whose
 * callers are all refused would never be asked for.
 */
export class ExpectedReturns {
	#returns: ExpectedReturn[] = [];

	/** @param returnsAt - When the caller was told to come back, in monotonic milliseconds. */
	add(demand: Demand, returnsAt: number): void {
		const patienceMs = demand.leavesAt - demand.dueAt;
		this.#returns.push({demand: {...demand, leavesAt: returnsAt + Math.max(0, patienceMs)}, endsAt: returnsAt + LATE_MS});
	}

	/** What the callers that are still expected need. */
	getDemands(now: number): Demand[] {
		this.#returns = this.#returns.filter(({endsAt}) => endsAt > now);
		return this.#returns.map(({demand}) => demand);
	}
}
