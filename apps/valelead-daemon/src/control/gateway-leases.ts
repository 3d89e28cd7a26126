import type {Clock} from '@valelead/common';
import type {FollowerReport} from '@valelead/protocol';
import {BEGUN_CRASHES, CRASH_LEASE_MS} from '@valelead/quarantine';
import type {FollowerSession} from './follower-session.js';

type LeasesParts = {
	readonly clock: Clock;
	readonly getTerm: () => number;
};

type KnownGateway = {
	readonly session: FollowerSession;
	isEnded: boolean;
};

/**
 * For how long a gateway that is away counts as one that may have lost an upstream unnoticed, in milliseconds: until its callers have heard of it and
 * tried elsewhere. One that is gone for good would otherwise keep suspected requests back for ever.
 */
const AWAY_MS = 10_000;

/** Follows, as the leader, which gateways may send requests that had begun at a crash, and which may know of crashes that no leader has heard of. */
export class GatewayLeases {
	readonly #parts: LeasesParts;
	/** By VM. */
	readonly #gateways = new Map<string, KnownGateway>();
	#term = -1;
	#ledSince = 0;
	/** Gateways that followed an earlier leader, by what followers tell. */
	#expectedCount = 0;

	constructor(parts: LeasesParts) {
		this.#parts = parts;
	}

	/** Takes what any follower tells of the number of gateways. */
	noteCount({gatewayCount}: Pick<FollowerReport, 'gatewayCount'>): void {
		this.#checkTerm();
		this.#expectedCount = Math.max(this.#expectedCount, gatewayCount);
	}

	/** Takes a gateway's report in this leadership. */
	note(session: FollowerSession): void {
		this.#checkTerm();
		this.#gateways.set(session.vm, {session, isEnded: false});
	}

	/** Takes the end of a session; the gateway may go on until its lease is out. */
	forget(session: FollowerSession): void {
		const known = this.#gateways.get(session.vm);
		if (known?.session === session) {
			known.isEnded = true;
		}
	}

	/**
	 * Whether a gateway may go by this leader's list: the leader has taken a report of it, and all gateways that followed an earlier leader have told this
	 * one what they know, or are gone for long. Sessions that began before the leadership are sent news before that, and until a report has come
	 * nothing tells how many gateways there are.
	 */
	isGranted(session: FollowerSession): boolean {
		return this.#isComplete && this.#gateways.get(session.vm)?.session === session;
	}

	/** Whether some gateway may still send by what it knew before a version of the quarantine. */
	isUnaware(version: number): boolean {
		this.#checkTerm();
		const now = this.#parts.clock.now();
		const isKnownUnaware = [...this.#gateways.values()].some(({session}) =>
			now - session.heardAt <= CRASH_LEASE_MS && session.quarantineConfirmed < version);
		return isKnownUnaware || this.#hasMissing(CRASH_LEASE_MS);
	}

	/**
	 * The crashes from which a request that had just begun at each is kept back for the moment, as each gateway that is away may have lost
	 * one more upstream to it; undefined where none is away.
	 */
	get pausedCrashes(): number | undefined {
		if (!this.#isComplete) {
			// What the others told an earlier leader is not known here.
			return 1;
		}

		const now = this.#parts.clock.now();
		const isAway = ({session: {heardAt}, isEnded}: KnownGateway): boolean => (isEnded || now - heardAt > CRASH_LEASE_MS) && now - heardAt <= AWAY_MS;
		const awayCount = [...this.#gateways.values()].filter(gateway => isAway(gateway)).length;
		return awayCount > 0 ? Math.max(1, BEGUN_CRASHES - awayCount) : undefined;
	}

	get #isComplete(): boolean {
		this.#checkTerm();
		return !this.#hasMissing(AWAY_MS);
	}

	/** Whether gateways that followed an earlier leader may have told this one nothing yet, within a time of its begin. */
	#hasMissing(withinMs: number): boolean {
		return this.#gateways.size < this.#expectedCount && this.#parts.clock.now() - this.#ledSince <= withinMs;
	}

	#checkTerm(): void {
		const term = this.#parts.getTerm();
		if (term !== this.#term) {
			this.#term = term;
			this.#ledSince = this.#parts.clock.now();
			this.#expectedCount = 0;
			this.#gateways.clear();
		}
	}
}
