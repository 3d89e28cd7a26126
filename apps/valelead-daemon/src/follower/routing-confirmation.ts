import {type Clock, type SuspensionWatch, Lease} from '@valelead/common';

/** Fraction of the revocation time for which a process may go on without a confirmation by the leader; the rest allows for clock drift. */
const LEASE_SHARE = 0.8;

/** Tracks for how long a process may use its routing: a confirmation says that it has every change acknowledged before the process asked. */
export class RoutingConfirmation {
	readonly #isGuaranteed: boolean;
	readonly #end: Lease;

	/** @param revokeMs - Time after which a revoked key must no longer be accepted, in milliseconds; 0 if the settings do not guarantee one. */
	constructor(clock: Clock, suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>, revokeMs: number) {
		this.#isGuaranteed = revokeMs > 0;
		this.#end = new Lease({clock, suspensions, lengthMs: revokeMs * LEASE_SHARE});
	}

	/** True if the routing is recent enough: none of its keys can have been revoked so long ago that it must no longer be accepted. */
	get isFresh(): boolean {
		return !this.#isGuaranteed || !this.#end.isExpired;
	}

	/**
	 * Records the leader's confirmation that the routing of this process is the newest.
	 * @param askedAt - When this process made the report that the leader confirmed, in monotonic milliseconds.
	 */
	confirm(askedAt: number): void {
		this.#end.renew(askedAt);
	}
}
