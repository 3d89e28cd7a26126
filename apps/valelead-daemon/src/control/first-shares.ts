import type {Clock} from '@valelead/common';
import type {FollowerSession} from './follower-session.js';

type FirstSharesParts = {
	readonly clock: Clock;
	/** The present term. */
	readonly getTerm: () => number;
	/** The term in which the first routing of all was proposed; undefined before it, and where that is not known any more. */
	readonly getFirstRoutingTerm: () => number | undefined;
	/** Gateways that this voter hears. */
	readonly getGatewayCount: () => number;
};

/**
 * For how long after the first routing shares are told, in milliseconds. Together with the lease of a gateway's share it is shorter than the time for which
 * a gateway that has one keeps to it.
 */
const TELL_MS = 5000;

/** For gateways that come while the first routing is told, as many shares are kept as there are gateways by then. */
const SHARES_PER_GATEWAY = 2;

const LEAST_SHARES = 4;

/**
 * Divides, as the leader, the retries that nobody can have spent yet: those of an installation that gets its first routing. A gateway sends nothing before it
 * has a routing, and only a leader tells it the first one. The leadership in which the first one of all was proposed is the first that tells one, so
 * it knows every VM that may have sent something. All shares together are the whole, however many gateways ask.
 */
export class FirstShares {
	readonly #parts: FirstSharesParts;
	#term = -1;
	/** Whether a gateway had a routing that this leadership did not tell. */
	#hasOlder = false;
	/** When the first routing was seen in its own term, in monotonic milliseconds, and the number of shares from then on. */
	#routed: {readonly at: number; readonly shares: number} | undefined;
	/** VMs whose gateway was told a routing. */
	readonly #served = new Set<string>();
	#given = 0;

	constructor(parts: FirstSharesParts) {
		this.#parts = parts;
	}

	/** Takes that the state behind the log may have changed. */
	noteState(): void {
		const {getTerm, getFirstRoutingTerm, getGatewayCount, clock} = this.#parts;
		const term = getTerm();
		if (term !== this.#term) {
			this.#term = term;
			this.#hasOlder = false;
			this.#routed = undefined;
			this.#served.clear();
			this.#given = 0;
		}

		if (getFirstRoutingTerm() === term) {
			this.#routed ??= {at: clock.now(), shares: Math.max(LEAST_SHARES, getGatewayCount() * SHARES_PER_GATEWAY)};
		}
	}

	/** Takes a report. A routing that this leadership has not told shows that the log was lost. */
	note({vm}: Pick<FollowerSession, 'vm'>, {routingVersion}: {readonly routingVersion: number}): void {
		this.noteState();
		this.#hasOlder ||= routingVersion > 0 && !this.#served.has(vm);
	}

	/** Takes that a gateway is told a routing; returns into how many shares the unspent retries are divided, or 0 where it gets none of them. */
	take({vm}: Pick<FollowerSession, 'vm'>): number {
		this.noteState();
		const isUnserved = !this.#served.has(vm);
		this.#served.add(vm);
		const routed = this.#routed;
		if (!routed || this.#hasOlder || !isUnserved) {
			return 0;
		}

		if (this.#given >= routed.shares || this.#parts.clock.now() - routed.at > TELL_MS) {
			return 0;
		}

		this.#given += 1;
		return routed.shares;
	}
}
