import {type Clock, type SuspensionWatch, LeaseEnd} from '@valelead/common';
import {BEGUN_CRASHES, CRASH_LEASE_MS} from '@valelead/quarantine';
import {PEER_LEASES_EXPIRY_MS} from './peer-leases-expiry-ms.js';

type LeaseParts = {
	readonly clock: Clock;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** Gateways that share what the leader knows, this one among them. */
	readonly getGatewayCount: () => number;
};

/**
 * Until when this gateway may go by the leader's word on requests that had begun at a crash. The leader waits for its confirmation of each judgement until
 * the lease is out, so after that it sends such a request only as far as it cannot be the fourth of all gateways to lose an upstream to it.
 */
export class CrashLease {
	readonly #parts: LeaseParts;
	readonly #end: LeaseEnd;

	constructor(parts: LeaseParts) {
		this.#parts = parts;
		this.#end = new LeaseEnd({...parts, lengthMs: CRASH_LEASE_MS});
	}

	get isOver(): boolean {
		return this.#end.isOver;
	}

	/** Until no gateway goes by a lease that it got while this one had its own, in milliseconds; 0 once that is so. */
	get peerLeasesExpireInMs(): number {
		return Math.max(0, this.#end.at - CRASH_LEASE_MS + PEER_LEASES_EXPIRY_MS - this.#parts.clock.now());
	}

	/** Upstreams that this gateway may lose to one request without a lease, while each other gateway may lose one: it knows of no crash there. */
	get ownCrashes(): number {
		return Math.max(1, BEGUN_CRASHES + 1 - this.#parts.getGatewayCount());
	}

	/** @param askedAt - When the report was made that the leader answered, in monotonic milliseconds. */
	confirm(askedAt: number): void {
		this.#end.confirm(askedAt);
	}
}
