import {type Clock, type SuspensionWatch, Lease} from '@valelead/common';

type CountParts = {
	readonly clock: Clock;
	/** Provides the time of the last suspension of this process and the total time lost in suspensions. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
};

/** The part of an update of the leader that is about the number of gateways. */
type GatewayCountUpdate = {
	/** Number of gateways; 0 if the leader has received no report from a gateway. */
	readonly count: number;
	/** When this process made the report to which the update replies, in monotonic milliseconds. */
	readonly askedAt: number;
	/** True if this gateway has a routing, so that it may send requests to upstreams. */
	readonly isServing: boolean;
	/** Number of shares into which the retry budget is divided while no gateway can have spent from it; 0 if one may have. */
	readonly unspentShares: number;
	/** Number of shares into which the retry budget is divided by the replicated log; 0 if the leader cannot tell. */
	readonly budgetShares: number;
};

/** A lower number of gateways is accepted only after this time, in milliseconds. */
const LOWER_COUNT_DELAY_MS = 20_000;

/**
 * How long a gateway keeps its share of the budgets after a leader last counted it, in milliseconds. The other gateways take the share over
 * LOWER_COUNT_DELAY_MS after the leader has stopped counting this one. By then, all spending under the lease is older than a budget window.
 */
const SHARE_LEASE_MS = 10_000;

/**
 * How long a gateway keeps the share that it got with the first routing, in milliseconds: until it has learned of all other gateways that got one, or
 * its lease has ended.
 */
const INITIAL_SHARES_MS = 20_000;

/** Tracks how many gateways share the budgets, including this one, from the updates of leaders. */
export class GatewayCount {
	readonly #clock: Clock;
	readonly #lease: Lease;
	#value = 1;
	/** When a count was last accepted, in monotonic milliseconds. */
	#acceptedAt = 0;
	#countedSince = Number.NEGATIVE_INFINITY;
	/** Number of shares of the retry budget if no gateway had spent from it when this one was first counted; 0 if one may have. */
	#unspentShares = 0;
	/** Number of shares of the retry budget by the latest leader that could tell. */
	#budgetShares = 0;

	constructor({clock, suspensions}: CountParts) {
		this.#clock = clock;
		this.#lease = new Lease({clock, suspensions, lengthMs: SHARE_LEASE_MS});
	}

	/** The number of gateways, at least 1. */
	get value(): number {
		return this.#value;
	}

	/**
	 * Since when leaders have counted this gateway without interruption while it had a routing, in monotonic milliseconds; undefined while no leader
	 * counts it. Before this time other gateways may have spent this share, because they did not know of this gateway yet.
	 */
	get countedSince(): number | undefined {
		return this.#lease.isExpired ? undefined : this.#countedSince;
	}

	/** True if this gateway got its share before any gateway could spend from the budget, so that the whole share is unspent. */
	get isUnspent(): boolean {
		return this.#unspentShares > 0 && !this.#lease.isExpired;
	}

	/** Number of shares into which the retry budget is divided; one of them belongs to this gateway. */
	get shares(): number {
		const isInitialShare = this.isUnspent && this.#clock.now() - this.#countedSince < INITIAL_SHARES_MS;
		return Math.max(this.#value, this.#budgetShares, isInitialShare ? this.#unspentShares : 0);
	}

	/** Processes an update of the leader. A new leader may not have reports from all gateways yet, so a lower count is accepted only after 20 s. */
	handleUpdate({count, askedAt, isServing, unspentShares, budgetShares}: GatewayCountUpdate): void {
		const now = this.#clock.now();
		this.#budgetShares = budgetShares === 0 ? this.#budgetShares : budgetShares;
		if (count >= this.#value || now - this.#acceptedAt > LOWER_COUNT_DELAY_MS) {
			this.#value = Math.max(1, count);
			this.#acceptedAt = now;
		}

		const wasOver = this.#lease.isExpired;
		if (isServing && count > 0 && this.#lease.renew(askedAt) && wasOver) {
			this.#countedSince = now;
			this.#unspentShares = unspentShares;
		}
	}
}
