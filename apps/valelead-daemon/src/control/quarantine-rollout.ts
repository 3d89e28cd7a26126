import type {Clock, TimerService} from '@valelead/common';
import type {FollowerReport} from '@valelead/protocol';
import type {FollowerSession} from './follower-session.js';

type RolloutParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly isLeading: () => boolean;
	/** Returns the version of the quarantine list that gateways must apply. */
	readonly getVersion: () => number;
	/** Returns the gateway sessions with this voter. */
	readonly getGateways: () => readonly FollowerSession[];
	/** Returns true if some gateway, reachable or not, may still send requests according to a list older than a version. */
	readonly hasStaleGateway: (version: number) => boolean;
	/** Called when more gateways have applied the consequences of the crashes that a session reported. */
	readonly onProgress: (session: FollowerSession) => void;
};

/** A crash report whose resulting quarantine list some gateways may not have applied. */
type PendingReport = {
	readonly sentAt: number;
	/** Version of the quarantine list that resulted from the report. */
	readonly version: number;
	readonly since: number;
	/** True once all reachable gateways have confirmed the version, or the wait for them has ended. */
	isAcknowledged: boolean;
};

/** The rollout does not wait for a gateway that has sent no report for this time: two heartbeats, in milliseconds. */
const GATEWAY_SILENCE_MS = 1000;

/** Maximum wait for the confirmations of gateways, in milliseconds. It is short because the request that lost its upstream waits as long. */
const MAX_CONFIRM_MS = 250;

/**
 * Tracks when all gateways have applied the consequences of a crash report. The reporting gateway holds the caller's error back until then;
 * otherwise the caller's retry could reach a gateway that does not know of the crash. Requests that only waited at the crashed upstream are
 * answered once all reachable gateways have confirmed, after at most `MAX_CONFIRM_MS`. Requests that had just started there are answered once
 * the leases of the gateways rule out that any gateway sends them without knowing of the crash.
 */
export class QuarantineRollout {
	readonly #parts: RolloutParts;
	readonly #pending = new Map<FollowerSession, PendingReport>();

	constructor(parts: RolloutParts) {
		this.#parts = parts;
	}

	/** Processes a report. Must be called after the quarantine registry has processed the crashes of the report. */
	noteReport(session: FollowerSession, {sentAt, crashes}: FollowerReport): void {
		if (crashes.length > 0) {
			const now = this.#parts.clock.now();
			const since = this.#pending.get(session)?.since ?? now;
			this.#pending.set(session, {
				sentAt, version: this.#parts.getVersion(), since, isAcknowledged: false,
			});
			this.#parts.timers.after(MAX_CONFIRM_MS, () => {
				this.checkPending();
			});
		}

		this.checkPending();
	}

	/** Checks the pending reports again after a gateway has sent a confirmation or ended its session. */
	checkPending(): void {
		if (!this.#parts.isLeading()) {
			this.#pending.clear();
			return;
		}

		for (const [session, report] of this.#pending) {
			this.#checkReport(session, report);
		}
	}

	noteSessionEnd(session: FollowerSession): void {
		this.#pending.delete(session);
		this.checkPending();
	}

	#checkReport(session: FollowerSession, report: PendingReport): void {
		const isApplied = !this.#parts.hasStaleGateway(report.version);
		const isNewlyAcknowledged = !report.isAcknowledged && (isApplied || this.#isAcknowledged(report));
		if (isNewlyAcknowledged) {
			report.isAcknowledged = true;
			session.crashesKnownUntil = report.sentAt;
		}

		if (isApplied) {
			this.#pending.delete(session);
			session.crashesObeyedUntil = report.sentAt;
		}

		if (isNewlyAcknowledged || isApplied) {
			this.#parts.onProgress(session);
		}
	}

	#isAcknowledged({version, since}: PendingReport): boolean {
		const now = this.#parts.clock.now();
		const isBehind = ({heardAt, quarantineConfirmed}: FollowerSession): boolean => now - heardAt <= GATEWAY_SILENCE_MS && quarantineConfirmed < version;
		return now - since >= MAX_CONFIRM_MS || !this.#parts.getGateways().some(gateway => isBehind(gateway));
	}
}
