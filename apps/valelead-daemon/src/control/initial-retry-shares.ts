import type {Clock} from '@valelead/common';
import type {FollowerSession} from './follower-session.js';

type SharesParts = {
	readonly clock: Clock;
	/** Returns the current term. */
	readonly getTerm: () => number;
	/** Returns the term in which the installation's first routing was proposed; undefined before that, or if the term is no longer known. */
	readonly getFirstRoutingTerm: () => number | undefined;
	/** Returns the number of gateways that report to this voter. */
	readonly getGatewayCount: () => number;
};

/**
 * Time after the first routing during which shares are granted, in milliseconds. This time plus the lease of a share is shorter than the time
 * for which a gateway that received a share keeps using it.
 */
const GRANT_WINDOW_MS = 5000;

/** Shares per gateway known at the first routing. Half of the shares are left for gateways that connect while shares are granted. */
const SHARES_PER_GATEWAY = 2;

const MIN_SHARES = 4;

/**
 * Divides the initial retry budget of an installation among its gateways. Runs on the leader. No gateway can have spent any of this budget:
 * a gateway sends no requests before it has a routing configuration, and it gets its first one only from a leader. The leader in whose term
 * the installation's first routing was proposed is the first to send one, so it knows every VM that may have sent requests. The shares never
 * add up to more than the whole budget, however many gateways ask.
 */
export class InitialRetryShares {
	readonly #parts: SharesParts;
	#term = -1;
	/** True if a gateway reported a routing that it did not receive in the current term. */
	#hasForeignRouting = false;
	/** Time at which the first routing was seen in the term of its proposal, in monotonic milliseconds, and the number of shares since then. */
	#firstRouting: {readonly at: number; readonly shares: number} | undefined;
	/** VMs whose gateway was sent a routing in the current term. */
	readonly #vmsWithRouting = new Set<string>();
	#grantedShares = 0;

	constructor(parts: SharesParts) {
		this.#parts = parts;
	}

	/** Checks the term and the first routing again. Called when the replicated state may have changed. */
	refreshState(): void {
		const {getTerm, getFirstRoutingTerm, getGatewayCount, clock} = this.#parts;
		const term = getTerm();
		if (term !== this.#term) {
			this.#term = term;
			this.#hasForeignRouting = false;
			this.#firstRouting = undefined;
			this.#vmsWithRouting.clear();
			this.#grantedShares = 0;
		}

		if (getFirstRoutingTerm() === term) {
			this.#firstRouting ??= {at: clock.now(), shares: Math.max(MIN_SHARES, getGatewayCount() * SHARES_PER_GATEWAY)};
		}
	}

	/** Processes a gateway's report. A routing that the gateway did not receive in this term shows that the replicated log was lost. */
	noteReport({vm}: Pick<FollowerSession, 'vm'>, {routingVersion}: {readonly routingVersion: number}): void {
		this.refreshState();
		this.#hasForeignRouting ||= routingVersion > 0 && !this.#vmsWithRouting.has(vm);
	}

	/**
	 * Claims a share for a gateway that is being sent a routing. Returns the number of shares into which the unspent retries are divided, or 0 if
	 * the gateway gets no share.
	 */
	claimShare({vm}: Pick<FollowerSession, 'vm'>): number {
		this.refreshState();
		const isFirstRouting = !this.#vmsWithRouting.has(vm);
		this.#vmsWithRouting.add(vm);
		const firstRouting = this.#firstRouting;
		if (!firstRouting || this.#hasForeignRouting || !isFirstRouting) {
			return 0;
		}

		if (this.#grantedShares >= firstRouting.shares || this.#parts.clock.now() - firstRouting.at > GRANT_WINDOW_MS) {
			return 0;
		}

		this.#grantedShares += 1;
		return firstRouting.shares;
	}
}
