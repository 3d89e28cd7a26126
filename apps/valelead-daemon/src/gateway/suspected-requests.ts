import type {Clock, SuspensionWatch} from '@valelead/common';
import {CrashLease} from './crash-lease.js';

type SuspectedParts = {
	readonly clock: Clock;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** Gateways that follow the leader, this one among them. */
	readonly getGatewayCount: () => number;
};

/** A crash at which a request had just begun. */
type BegunCrash = {
	/** Whether this gateway had a lease then, so that others may have lost upstreams to the same request. */
	readonly isLeased: boolean;
};

/** Upstreams that a gateway without a lease loses to a request before it judges alone; one may be a coincidence. */
const OWN_JUDGED_CRASHES = 2;

/** What leaders suspect, and for how long this gateway may go by it. */
export class SuspectedRequests {
	readonly #lease: CrashLease;
	/** Requests that the leader blames, and not yet enough. */
	#suspected: ReadonlySet<string> = new Set();
	/** Requests that leaders suspected since one last granted a lease; a leader without all gateways may not have heard why. */
	readonly #suspectedBefore = new Set<string>();
	/** Requests that the leader has no gateway send for the moment. */
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

	/** Until no gateway sends by what it knew before a crash that this one has noted now, in milliseconds; 0 without a leader for that long. */
	get peerLeasesExpireInMs(): number {
		return this.#lease.peerLeasesExpireInMs;
	}

	/** The requests that the present leader suspects. */
	get names(): ReadonlySet<string> {
		return this.#suspected;
	}

	/** Takes a leader's list. */
	take(suspected: readonly string[], paused: readonly string[]): void {
		for (const fingerprint of this.#suspected) {
			this.#suspectedBefore.add(fingerprint);
		}

		this.#suspected = new Set(suspected);
		this.#paused = new Set(paused);
	}

	/** Takes that a leader which has heard all gateways grants a lease on its list, from when it was asked, in monotonic milliseconds. */
	confirm(reportedAt: number): void {
		this.#lease.confirm(reportedAt);
		this.#suspectedBefore.clear();
	}

	/** Whether a request might cost a fourth upstream, as other gateways may have lost some to it of which this one has no word. */
	isPaused(fingerprint: string, begun: readonly BegunCrash[]): boolean {
		if (this.hasLease || this.#paused.has(fingerprint)) {
			return this.#paused.has(fingerprint);
		}

		const isShared = this.#suspected.has(fingerprint) || this.#suspectedBefore.has(fingerprint) || begun.some(({isLeased}) => isLeased);
		return isShared || begun.length >= this.#lease.ownCrashes;
	}

	/** Whether this gateway has lost as many upstreams to a request without a lease as it may, so that it judges alone. */
	isOwnJudged(begun: readonly BegunCrash[]): boolean {
		return begun.filter(({isLeased}) => !isLeased).length >= Math.max(this.#lease.ownCrashes, OWN_JUDGED_CRASHES);
	}
}
