import type {Clock} from '@valelead/common';
import type {FollowerReport} from '@valelead/protocol';
import {BEGUN_CRASH_THRESHOLD, CRASH_LEASE_MS} from '@valelead/quarantine';
import type {FollowerSession} from './follower-session.js';

type LeasesParts = {
	readonly clock: Clock;
	readonly getTerm: () => number;
	/** Returns the number of gateways in the replicated log. Gateways that have just started report none that they followed a leader with. */
	readonly getCommittedCount: () => number;
};

type KnownGateway = {
	readonly session: FollowerSession;
	isSessionEnded: boolean;
};

/**
 * Time for which an absent gateway is assumed to have crashed one more upstream that the leader does not know of, in milliseconds. After this
 * time its callers have received an error and tried another gateway. Without the limit, suspected requests would be held back
 * forever if a gateway never returns.
 */
const ABSENCE_LIMIT_MS = 10_000;

/**
 * Tracks which gateways hold a lease to send requests that had just started at a crash, and which gateways may know of crashes that no leader
 * has received. Runs on the leader.
 */
export class GatewayLeases {
	readonly #parts: LeasesParts;
	/** Gateways that have reported in the current term, by VM. */
	readonly #gateways = new Map<string, KnownGateway>();
	#term = -1;
	#termStartedAt = 0;
	/** Number of gateways that followed an earlier leader: the largest number that a follower reported in the current term. */
	#expectedCount = 0;

	constructor(parts: LeasesParts) {
		this.#parts = parts;
	}

	/** Records the number of gateways that a follower reports. */
	noteGatewayCount({gatewayCount}: Pick<FollowerReport, 'gatewayCount'>): void {
		this.#checkTerm();
		this.#expectedCount = Math.max(this.#expectedCount, gatewayCount);
	}

	/** Records that a gateway's session has sent a report in the current term. */
	noteReport(session: FollowerSession): void {
		this.#checkTerm();
		this.#gateways.set(session.vm, {session, isSessionEnded: false});
	}

	/** Records the end of a session. The gateway may keep sending requests until its lease expires. */
	noteSessionEnd(session: FollowerSession): void {
		const known = this.#gateways.get(session.vm);
		if (known?.session === session) {
			known.isSessionEnded = true;
		}
	}

	/**
	 * Returns true if a gateway may rely on this leader's quarantine list: the leader has received a report in the gateway's session, and all
	 * gateways that followed an earlier leader have reported to this leader or have been absent for `ABSENCE_LIMIT_MS`. The session's own report
	 * is required because sessions opened before the term receive updates before they report, and the leader learns the number of gateways
	 * only from reports.
	 */
	isGranted(session: FollowerSession): boolean {
		return this.#hasAllReports && this.#gateways.get(session.vm)?.session === session;
	}

	/** Returns true if some gateway may still send requests according to a quarantine list older than a version. */
	hasStaleGateway(version: number): boolean {
		this.#checkTerm();
		const now = this.#parts.clock.now();
		const hasStaleSession = [...this.#gateways.values()].some(({session}) =>
			now - session.heardAt <= CRASH_LEASE_MS && session.quarantineConfirmed < version);
		return hasStaleSession || this.#isReportMissing(CRASH_LEASE_MS);
	}

	/**
	 * Number of crashes from which a request that had just started at each of them is paused, since each absent gateway may have lost one more
	 * upstream to the request; undefined if no gateway is absent.
	 */
	get pauseThreshold(): number | undefined {
		if (!this.#hasAllReports) {
			// This leader does not know yet which crashes the missing gateways reported to an earlier leader.
			return 1;
		}

		const now = this.#parts.clock.now();
		const isAbsent = ({session: {heardAt}, isSessionEnded}: KnownGateway): boolean => (isSessionEnded || now - heardAt > CRASH_LEASE_MS) && now - heardAt <= ABSENCE_LIMIT_MS;
		const absentCount = [...this.#gateways.values()].filter(gateway => isAbsent(gateway)).length;
		return absentCount > 0 ? Math.max(1, BEGUN_CRASH_THRESHOLD - absentCount) : undefined;
	}

	/** Time for which a gateway that followed an earlier leader and has not reported yet is still expected, in milliseconds; 0 if all have reported. */
	getMissingMs(withinMs: number): number {
		this.#checkTerm();
		return this.#isReportMissing(withinMs) ? withinMs - (this.#parts.clock.now() - this.#termStartedAt) : 0;
	}

	get #hasAllReports(): boolean {
		this.#checkTerm();
		return !this.#isReportMissing(ABSENCE_LIMIT_MS);
	}

	/** Returns true if the term is at most this old and a gateway that followed an earlier leader has not reported yet. */
	#isReportMissing(withinMs: number): boolean {
		const expectedCount = Math.max(this.#expectedCount, this.#parts.getCommittedCount());
		return this.#gateways.size < expectedCount && this.#parts.clock.now() - this.#termStartedAt <= withinMs;
	}

	#checkTerm(): void {
		const term = this.#parts.getTerm();
		if (term !== this.#term) {
			this.#term = term;
			this.#termStartedAt = this.#parts.clock.now();
			this.#expectedCount = 0;
			this.#gateways.clear();
		}
	}
}
