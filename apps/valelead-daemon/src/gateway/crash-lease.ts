import {type Clock, type SuspensionWatch, Lease} from '@valelead/common';
import {BEGUN_CRASH_THRESHOLD, CRASH_LEASE_MS} from '@valelead/quarantine';
import {PEER_LEASES_EXPIRY_MS} from './peer-leases-expiry-ms.js';

type LeaseParts = {
	readonly clock: Clock;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** Returns the number of gateways that report to the leader, including this one. */
	readonly getGatewayCount: () => number;
};

/**
 * The lease under which this gateway may rely on the leader's list of requests whose responses had begun at a crash. Until the lease expires, the
 * leader waits for this gateway to confirm each decision. After that, the gateway sends such a request only if it cannot crash a fourth upstream,
 * counted over all gateways.
 */
export class CrashLease {
	readonly #parts: LeaseParts;
	readonly #end: Lease;

	constructor(parts: LeaseParts) {
		this.#parts = parts;
		this.#end = new Lease({...parts, lengthMs: CRASH_LEASE_MS});
	}

	get isOver(): boolean {
		return this.#end.isExpired;
	}

	/** Time until all leases that other gateways got while this gateway held its own have expired, in milliseconds; 0 once they have. */
	get peerLeasesExpireInMs(): number {
		return Math.max(0, this.#end.expiresAt - CRASH_LEASE_MS + PEER_LEASES_EXPIRY_MS - this.#parts.clock.now());
	}

	/**
	 * The number of upstreams that this gateway may lose to one request without a lease. Each other gateway may lose one at the same time, because this
	 * gateway does not learn of crashes there.
	 */
	get maxUnleasedCrashes(): number {
		return Math.max(1, BEGUN_CRASH_THRESHOLD + 1 - this.#parts.getGatewayCount());
	}

	/**
	 * Renews the lease.
	 * @param askedAt - When the report that the leader answered was created, in monotonic milliseconds.
	 */
	confirm(askedAt: number): void {
		this.#end.renew(askedAt);
	}
}
