import {type Clock, type SuspensionWatch, LeaseEnd} from '@valelead/common';

type CountParts = {
	readonly clock: Clock;
	/** Tells when the process was last suspended, and for how long in all. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
};

/** A lower number of gateways is believed after this time, in milliseconds. */
const COUNT_PATIENCE_MS = 20_000;

/**
 * How long a gateway keeps its share after a leader last counted it, in milliseconds. The others take the share over COUNT_PATIENCE_MS after the leader
 * counts it no more; what was spent of it until the end of the lease lies further back than a window by then.
 */
const SHARE_LEASE_MS = 10_000;

/** How many gateways share budgets, this one among them, as leaders tell. */
export class GatewayCount {
	readonly #clock: Clock;
	readonly #lease: LeaseEnd;
	#value = 1;
	/** When the number was last believed. */
	#believedAt = 0;
	/** Since when this gateway has been counted without a break; the start of its process the first time. */
	#countedSince: number;
	#isCounted = false;

	constructor({clock, suspensions}: CountParts) {
		this.#clock = clock;
		this.#lease = new LeaseEnd({clock, suspensions, lengthMs: SHARE_LEASE_MS});
		this.#countedSince = clock.now();
	}

	/** At least 1. */
	get value(): number {
		return this.#value;
	}

	/** Since when this gateway has had a share of its own, in monotonic milliseconds; undefined while no leader counts it. */
	get countedSince(): number | undefined {
		return this.#lease.isOver ? undefined : this.#countedSince;
	}

	/**
	 * Takes a leader's number. One that has just been elected may not have heard all gateways yet, so a lower number is believed only after a while.
	 * @param count - 0 where the leader has heard no gateway.
	 * @param askedAt - When this process reported to the leader, in monotonic milliseconds.
	 */
	take(count: number, askedAt: number): void {
		const now = this.#clock.now();
		if (count >= this.#value || now - this.#believedAt > COUNT_PATIENCE_MS) {
			this.#value = Math.max(1, count);
			this.#believedAt = now;
		}

		const wasOver = this.#lease.isOver;
		if (count > 0 && this.#lease.confirm(askedAt)) {
			this.#noteCounted(wasOver);
		}
	}

	#noteCounted(wasOver: boolean): void {
		if (wasOver && this.#isCounted) {
			this.#countedSince = this.#clock.now();
		}

		this.#isCounted = true;
	}
}
