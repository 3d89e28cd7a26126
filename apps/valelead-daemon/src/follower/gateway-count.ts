import {type Clock, type SuspensionWatch, LeaseEnd} from '@valelead/common';

type CountParts = {
	readonly clock: Clock;
	/** Tells when the process was last suspended, and for how long in all. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
};

/** What an update of the leader tells of the gateways. */
type CountNews = {
	/** 0 where the leader has heard no gateway. */
	readonly count: number;
	/** When this process reported to the leader, in monotonic milliseconds. */
	readonly askedAt: number;
	/** Whether this gateway has a routing, so that it may send requests to upstreams. */
	readonly isServing: boolean;
	/** How many shares the retries are divided into that nobody can have spent yet; 0 where somebody may have. */
	readonly unspentShares: number;
};

/** A lower number of gateways is believed after this time, in milliseconds. */
const COUNT_PATIENCE_MS = 20_000;

/**
 * How long a gateway keeps its share after a leader last counted it, in milliseconds. The others take the share over COUNT_PATIENCE_MS after the leader
 * counts it no more; what was spent of it until the end of the lease lies further back than a window by then.
 */
const SHARE_LEASE_MS = 10_000;

/**
 * How long a gateway keeps to the share that it got at the first routing, in milliseconds: until it has heard of all other gateways that got one, or its
 * lease is over.
 */
const UNSPENT_MS = 20_000;

/** How many gateways share budgets, this one among them, as leaders tell. */
export class GatewayCount {
	readonly #clock: Clock;
	readonly #lease: LeaseEnd;
	#value = 1;
	/** When the number was last believed. */
	#believedAt = 0;
	#countedSince = Number.NEGATIVE_INFINITY;
	/** Into how many shares the retries were divided that nobody had spent when this gateway was counted; 0 where they may have been. */
	#unspentShares = 0;

	constructor({clock, suspensions}: CountParts) {
		this.#clock = clock;
		this.#lease = new LeaseEnd({clock, suspensions, lengthMs: SHARE_LEASE_MS});
	}

	/** At least 1. */
	get value(): number {
		return this.#value;
	}

	/**
	 * Since when this gateway has been counted without a break while it had a routing, in monotonic milliseconds; undefined while no leader counts it.
	 * Others may have spent its share until they hear of it, so the time before does not tell that the share is unspent.
	 */
	get countedSince(): number | undefined {
		return this.#lease.isOver ? undefined : this.#countedSince;
	}

	/** Whether this gateway had a share from the first moment on, as nobody had spent any. */
	get isUnspent(): boolean {
		return this.#unspentShares > 0 && !this.#lease.isOver;
	}

	/** Into how many shares the retries of all gateways are divided, one of which is this gateway's. */
	get shares(): number {
		const isKept = this.isUnspent && this.#clock.now() - this.#countedSince < UNSPENT_MS;
		return isKept ? Math.max(this.#value, this.#unspentShares) : this.#value;
	}

	/** Takes a leader's number. One that has just been elected may not have heard all gateways yet, so a lower number is believed only after a while. */
	take({count, askedAt, isServing, unspentShares}: CountNews): void {
		const now = this.#clock.now();
		if (count >= this.#value || now - this.#believedAt > COUNT_PATIENCE_MS) {
			this.#value = Math.max(1, count);
			this.#believedAt = now;
		}

		const wasOver = this.#lease.isOver;
		if (isServing && count > 0 && this.#lease.confirm(askedAt) && wasOver) {
			this.#countedSince = now;
			this.#unspentShares = unspentShares;
		}
	}
}
