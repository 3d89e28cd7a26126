import type {Clock, SuspensionWatch} from '@valelead/common';
import {CrashLease} from './crash-lease.js';

type SuspectedParts = {
	readonly clock: Clock;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** Returns the number of gateways that follow the leader, including this one. */
	readonly getGatewayCount: () => number;
};

/** A crash of an upstream that had just begun its response to a request. */
type BegunCrash = {
	/** True if this gateway held a lease at the crash, so that other gateways may have lost upstreams to the same request. */
	readonly isLeased: boolean;
};

/** Upstreams that a gateway without a lease must lose to a request before it quarantines the request on its own; one may be a coincidence. */
const MIN_CRASHES_TO_QUARANTINE = 2;

/** The requests that leaders suspect of crashing upstreams, and the lease under which this gateway may rely on the leader's list. */
export class SuspectedRequests {
	readonly #lease: CrashLease;
	/** Requests that the leader suspects, but not strongly enough to quarantine them. */
	#suspected: ReadonlySet<string> = new Set();
	/** Requests that leaders suspected since the last lease was granted; a leader that lacks reports of some gateways may not know the reason. */
	readonly #suspectedBefore = new Set<string>();
	/** Requests that no gateway may send until the leader has decided on them. */
	#paused: ReadonlySet<string> = new Set();

	constructor(parts: SuspectedParts) {
		this.#lease = new CrashLease(parts);
	}

	get isEmpty(): boolean {
		return this.#suspected.size + this.#suspectedBefore.size + this.#paused.size === 0;
	}

	get hasLease(): boolean {
		return !this.#lease.isOver;
	}

	/** Time until all leases that other gateways got while this gateway held its own have expired, in milliseconds; 0 once they have. */
	get peerLeasesExpireInMs(): number {
		return this.#lease.peerLeasesExpireInMs;
	}

	/** Fingerprints of the requests that the current leader suspects. */
	get fingerprints(): ReadonlySet<string> {
		return this.#suspected;
	}

	/** Applies the leader's lists of suspected and paused requests, given as fingerprints. */
	take(suspected: readonly string[], paused: readonly string[]): void {
		for (const fingerprint of this.#suspected) {
			this.#suspectedBefore.add(fingerprint);
		}

		this.#suspected = new Set(suspected);
		this.#paused = new Set(paused);
	}

	/**
	 * Renews the lease, which a leader grants once it has received the reports of all gateways.
	 * @param reportedAt - When this gateway created the report that the leader answered, in monotonic milliseconds.
	 */
	confirm(reportedAt: number): void {
		this.#lease.confirm(reportedAt);
		this.#suspectedBefore.clear();
	}

	/** Returns true if a request might crash a fourth upstream, as other gateways may have lost upstreams to it without this gateway's knowledge. */
	isPaused(fingerprint: string, begun: readonly BegunCrash[]): boolean {
		if (this.hasLease || this.#paused.has(fingerprint)) {
			return this.#paused.has(fingerprint);
		}

		const isShared = this.#suspected.has(fingerprint) || this.#suspectedBefore.has(fingerprint) || begun.some(({isLeased}) => isLeased);
		return isShared || begun.length >= this.#lease.maxUnleasedCrashes;
	}

	/** Returns true if this gateway has lost the allowed number of upstreams to a request without a lease, and so quarantines it on its own. */
	isLocallyQuarantined(begun: readonly BegunCrash[]): boolean {
		return begun.filter(({isLeased}) => !isLeased).length >= Math.max(this.#lease.maxUnleasedCrashes, MIN_CRASHES_TO_QUARANTINE);
	}
}
