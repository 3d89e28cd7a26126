import type {Clock, TimerService} from '@valelead/common';
import type {FollowerReport} from '@valelead/protocol';
import type {FollowerSession} from './follower-session.js';

type RolloutParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly isLeading: () => boolean;
	/** The version of the quarantine that gateways are to obey. */
	readonly getVersion: () => number;
	/** The sessions of gateways with this voter. */
	readonly getGateways: () => readonly FollowerSession[];
	/** Hears of a session whose crashes are known to all. */
	readonly onKnown: (session: FollowerSession) => void;
};

/** A report of crashes whose consequences some gateways may not know. */
type PendingReport = {
	readonly sentAt: number;
	/** The version of the quarantine that it led to. */
	readonly version: number;
	readonly since: number;
};

/** A gateway that was silent for longer is not waited for, in milliseconds: two heartbeats. */
const GATEWAY_SILENCE_MS = 1000;

/** The longest wait for gateways, in milliseconds: the request that lost its upstream waits too. */
const CONFIRM_MS = 250;

/** Follows how what a gateway tells of crashes spreads to all gateways, so that it need not answer a caller whose next try another one would send. */
export class QuarantineRollout {
	readonly #parts: RolloutParts;
	readonly #pending = new Map<FollowerSession, PendingReport>();

	constructor(parts: RolloutParts) {
		this.#parts = parts;
	}

	/** Takes a report once the judgement has heard of its crashes. */
	note(session: FollowerSession, {sentAt, crashes}: FollowerReport): void {
		if (crashes.length > 0) {
			const now = this.#parts.clock.now();
			const since = this.#pending.get(session)?.since ?? now;
			this.#pending.set(session, {sentAt, version: this.#parts.getVersion(), since});
			this.#parts.timers.after(CONFIRM_MS, () => {
				this.settle();
			});
		}

		this.settle();
	}

	/** Takes that gateways have told more, or that one has left. */
	settle(): void {
		if (!this.#parts.isLeading()) {
			this.#pending.clear();
			return;
		}

		for (const [session, report] of this.#pending) {
			if (this.#isKnown(report)) {
				this.#pending.delete(session);
				session.crashesKnownUntil = report.sentAt;
				this.#parts.onKnown(session);
			}
		}
	}

	forget(session: FollowerSession): void {
		this.#pending.delete(session);
		this.settle();
	}

	#isKnown({version, since}: PendingReport): boolean {
		const now = this.#parts.clock.now();
		const isBehind = ({heardAt, quarantineConfirmed}: FollowerSession): boolean => now - heardAt <= GATEWAY_SILENCE_MS && quarantineConfirmed < version;
		return now - since >= CONFIRM_MS || !this.#parts.getGateways().some(gateway => isBehind(gateway));
	}
}
