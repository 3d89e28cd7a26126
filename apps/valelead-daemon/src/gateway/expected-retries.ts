import type {ExpectedReturn} from '@valelead/residency';
import type {Demand} from './demand.js';

/** Time after the announced Retry-After time during which a retry is still expected, in milliseconds. */
const RETRY_TOLERANCE_MS = 500;

type ExpectedRetry = {
	readonly demand: Demand;
	/** When the retry is no longer expected, in monotonic milliseconds. */
	readonly expiresAt: number;
};

/**
 * Refused requests whose callers were given a Retry-After time. They keep counting as demand until then, so that their units are loaded:
 * otherwise a model whose requests are all refused would never be loaded.
 */
export class ExpectedRetries {
	#retries: ExpectedRetry[] = [];

	/** @param retriesAt - When the caller was told to retry, in monotonic milliseconds. */
	add(demand: Demand, retriesAt: number): void {
		const patienceMs = demand.leavesAt - demand.dueAt;
		this.#retries.push({demand: {...demand, leavesAt: retriesAt + Math.max(0, patienceMs)}, expiresAt: retriesAt + RETRY_TOLERANCE_MS});
	}

	/** Adds a retry whose caller waits with its whole patience again once it has returned. Its demand keeps the time at which it was first due. */
	addReturn(demand: Demand, {returnsInMs, leavesInMs}: ExpectedReturn, now: number): void {
		this.#retries.push({demand: {...demand, leavesAt: now + leavesInMs}, expiresAt: now + returnsInMs + RETRY_TOLERANCE_MS});
	}

	/** Returns the demand of the retries that are still expected, and forgets the expired ones. */
	getDemands(now: number): Demand[] {
		this.#retries = this.#retries.filter(({expiresAt}) => expiresAt > now);
		return this.#retries.map(({demand}) => demand);
	}
}
