import {Buffer} from 'node:buffer';
import {
	RESULT_CODE, type Clock, type ResultCodeValue, type SuspensionWatch, type TimerService,
} from '@valelead/common';
import type {QuarantineList} from '@valelead/protocol';
import {
	type Crash,
	type CrashLedger,
	type WatchedRun,
	QUARANTINE_BLAME,
	QUARANTINE_MS,
	SUSPICION_BLAME,
	getBegunRuns,
	getBlame,
	getEvidence,
	getPartialBlame,
	isServedLately,
	mutateCrash,
	mutateOldCrashes,
	mutateReleased,
	mutateServed,
	mutateQuarantined,
	newCrashLedger,
} from '@valelead/quarantine';
import type {Logger} from 'pino';
import type {CrashExchange} from '../follower/crash-exchange.js';
import {SuspectedRequests} from './suspected-requests.js';

type QuarantineParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** Gateways that follow the leader, this one among them. */
	readonly getGatewayCount: () => number;
	/** Time since the leader was heard, in milliseconds. */
	readonly getLeaderAgeMs: () => number;
	/** Hears that more requests are quarantined. */
	readonly onQuarantined: () => void;
	/** Hears of what the leader must know at once. */
	readonly onCrashNews: () => void;
	/** Hears that all gateways know what the crashes noted before a time led to, in monotonic milliseconds. */
	readonly onCrashesKnown: (until: number) => void;
	/** Hears that no gateway sends by what it knew before such crashes, in monotonic milliseconds. */
	readonly onCrashesObeyed: (until: number) => void;
};

type NotedCrash = {
	readonly run: WatchedRun;
	readonly at: number;
	/** Whether this gateway had a lease on the leader's list then. */
	readonly isLeased: boolean;
};

/** Why a request is not sent, and when its caller may come back. */
type Refusal = {
	readonly code: ResultCodeValue;
	readonly retryAfterMs: number;
};

/** What is news for the leader is told with each report for this long, in milliseconds: some heartbeats, in case a report or the leader is lost. */
const TOLD_MS = 3000;

/**
 * A gateway judges by what it saw itself only once the leader was not heard for this long, in milliseconds: it does not see who else was at the
 * upstream. Two heartbeats, and well below the time in which a judgement must be everywhere.
 */
const OWN_DECISION_MS = 1000;

/** When a gateway has probably found a leader again, in milliseconds: an election that splits once. */
const LEADER_RETURN_MS = 1500;

/** Crashes that are kept to be told to a leader that knows none of them. */
const MAX_CRASHES = 64;

/** How often what is over is dropped, and judged anew while no leader is heard, in milliseconds. */
const EXPIRY_MS = 500;

const toText = (fingerprint: Uint8Array): string => Buffer.from(fingerprint).toString('hex');

const toCrash = ({runId, suspects}: WatchedRun): Crash => ({runId, suspects: [...suspects.values()]});

/** The requests that a gateway keeps from upstreams: by the leader's judgement, or by its own where it saw enough itself. */
export class RequestQuarantine implements CrashExchange {
	readonly #parts: QuarantineParts;
	readonly #ledger: CrashLedger = newCrashLedger();
	readonly #suspects: SuspectedRequests;
	/** Until when each request is not sent, by fingerprint, in monotonic milliseconds. */
	readonly #until = new Map<string, number>();
	readonly #crashes = new Map<string, NotedCrash>();
	/** What was answered and was blamed before, and since when the leader is told. */
	readonly #cleared = new Map<string, number>();
	/** Requests that a leader has quarantined. */
	#committed: ReadonlySet<string> = new Set();
	/** Requests that only this gateway has quarantined, and since when, in monotonic milliseconds. */
	readonly #own = new Map<string, number>();
	/** A leader has heard of the crashes that were noted before this time, in monotonic milliseconds. */
	#heardUntil = Number.NEGATIVE_INFINITY;
	/** The version of the leader's list that is obeyed; 0 before the first of a session. */
	#version = 0;

	constructor(parts: QuarantineParts) {
		this.#parts = parts;
		this.#suspects = new SuspectedRequests(parts);
		parts.timers.repeat(EXPIRY_MS, now => {
			this.#expire(now);
		});
	}

	get size(): number {
		return this.#until.size;
	}

	/** Whether no request is quarantined or known from a crash, so that all may be sent. */
	get isEmpty(): boolean {
		return this.#until.size === 0 && this.#suspects.isEmpty && this.#ledger.runsBySuspect.size === 0;
	}

	/** Until no gateway sends by what it knew before a crash that this one has noted now, in milliseconds; 0 without a leader for that long. */
	get peerLeasesExpireInMs(): number {
		return this.#suspects.peerLeasesExpireInMs;
	}

	/** Why a request is not sent; undefined where it may be. */
	getRefusal(fingerprint: string): Refusal | undefined {
		const remainingMs = this.getRemainingMs(fingerprint);
		if (remainingMs > 0) {
			return {code: RESULT_CODE.RequestQuarantined, retryAfterMs: remainingMs};
		}

		return this.#isPaused(fingerprint) ? {code: RESULT_CODE.RequestSuspected, retryAfterMs: LEADER_RETURN_MS} : undefined;
	}

	/** How long a request is not sent yet, in milliseconds; 0 where it may be. */
	getRemainingMs(fingerprint: string): number {
		return Math.max(0, (this.#until.get(fingerprint) ?? 0) - this.#parts.clock.now());
	}

	/** Whether a request is blamed enough that it must not cost a second upstream within one try. */
	isSuspected(fingerprint: string): boolean {
		return this.isBlamedByLeader(fingerprint) || getBlame(this.#ledger, fingerprint) >= SUSPICION_BLAME;
	}

	/** Whether a request is quarantined, or the leader blames it for more than one crash. */
	isBlamedByLeader(fingerprint: string): boolean {
		return this.#until.has(fingerprint) || this.#suspects.names.has(fingerprint);
	}

	/** Whether a request was answered whole so lately that it is not blamed for crashes. */
	isServedLately(fingerprint: string): boolean {
		return isServedLately(this.#ledger.served, fingerprint, this.#parts.clock.now());
	}

	/** Takes an upstream that crashed under requests of this gateway; again where more of them are known. */
	noteCrash(run: WatchedRun): void {
		const now = this.#parts.clock.now();
		if (this.#crashes.size >= MAX_CRASHES) {
			const [oldest] = this.#crashes.keys();
			this.#crashes.delete(oldest);
		}

		const isLeased = this.#crashes.get(run.runId)?.isLeased ?? this.#suspects.hasLease;
		this.#crashes.set(run.runId, {run, at: now, isLeased});
		mutateCrash(this.#ledger, toCrash(run), now);
		this.#quarantineBlamed([...run.suspects.keys()]);
	}

	/** Takes that an upstream answered a request whole; returns whether the leader should know. */
	noteServed(fingerprint: string): boolean {
		const now = this.#parts.clock.now();
		const isNews = mutateServed(this.#ledger, fingerprint, now) || this.#suspects.names.has(fingerprint) || this.#until.has(fingerprint);
		if (isNews) {
			this.#cleared.set(fingerprint, now);
			for (const {run} of this.#crashes.values()) {
				run.suspects.delete(fingerprint);
			}
		}

		return isNews;
	}

	getReport(isFirst: boolean): ReturnType<CrashExchange['getReport']> {
		if (isFirst) {
			this.#version = 0;
		}

		const told = this.#parts.clock.now() - TOLD_MS;
		const crashes = [...this.#crashes.values()].filter(({at}) => isFirst || at > told).map(({run}) => toCrash(run));
		const served = [...this.#cleared].filter(([, at]) => at > told).map(([fingerprint]) => fingerprint);
		return {crashes, served, quarantineVersion: this.#version};
	}

	take({quarantined, suspected, paused, released, version}: QuarantineList, isLeaders: boolean): void {
		let hasNew = false;
		this.#committed = new Set(quarantined.map(({fingerprint}) => toText(fingerprint)));
		for (const {fingerprint, remainingMs} of quarantined) {
			hasNew = this.#quarantine(toText(fingerprint), remainingMs, 'leader') || hasNew;
		}

		if (isLeaders) {
			this.#version = version;
			this.#suspects.take(suspected.map(fingerprint => toText(fingerprint)), paused.map(fingerprint => toText(fingerprint)));
		}

		this.#reportServed([...this.#suspects.names, ...quarantined.map(({fingerprint}) => toText(fingerprint))]);
		for (const fingerprint of released) {
			this.#release(toText(fingerprint));
		}

		if (hasNew) {
			this.#parts.onQuarantined();
		}
	}

	/** A leader knows at least as much as this gateway, so judgements of this gateway that it does not share end. */
	noteHeard(reportedAt: number, isLeaseGranted: boolean): void {
		if (isLeaseGranted) {
			this.#suspects.confirm(reportedAt);
		}

		this.#heardUntil = Math.max(this.#heardUntil, reportedAt);
		for (const [fingerprint, judgedAt] of this.#own) {
			if (this.#committed.has(fingerprint)) {
				this.#own.delete(fingerprint);
			} else if (judgedAt < reportedAt) {
				this.#dropOwn(fingerprint);
			}
		}
	}

	noteKnown(reportedAt: number): void {
		this.#parts.onCrashesKnown(reportedAt);
	}

	noteObeyed(reportedAt: number): void {
		this.#parts.onCrashesObeyed(reportedAt);
	}

	/** Whether a request is kept back for the moment. */
	#isPaused(fingerprint: string): boolean {
		return !this.isServedLately(fingerprint) && this.#suspects.isPaused(fingerprint, this.#getBegunCrashes(fingerprint));
	}

	/** The crashes at which a request had just begun. Those that made way for newer ones count as ones that others may share. */
	#getBegunCrashes(fingerprint: string): ReadonlyArray<Pick<NotedCrash, 'isLeased'>> {
		return getBegunRuns(this.#ledger, fingerprint).map(runId => this.#crashes.get(runId) ?? {isLeased: true});
	}

	/** Tells the leader of blamed requests that were answered here lately; it may have heard of their crashes alone. */
	#reportServed(fingerprints: readonly string[]): void {
		const now = this.#parts.clock.now();
		const served = fingerprints.filter(fingerprint => !this.#cleared.has(fingerprint) && this.isServedLately(fingerprint));
		for (const fingerprint of served) {
			this.#cleared.set(fingerprint, now);
		}

		if (served.length > 0) {
			this.#parts.onCrashNews();
		}
	}

	#quarantineBlamed(fingerprints: readonly string[]): void {
		if (this.#parts.getLeaderAgeMs() <= OWN_DECISION_MS) {
			return;
		}

		const quarantined = mutateQuarantined(this.#ledger, fingerprints, fingerprint => this.#getOwnBlame(fingerprint));
		for (const fingerprint of quarantined) {
			this.#own.set(fingerprint, this.#parts.clock.now());
			this.#quarantine(fingerprint, QUARANTINE_MS, 'own');
		}

		if (quarantined.length > 0) {
			this.#parts.onQuarantined();
		}
	}

	#getOwnBlame(fingerprint: string): number {
		if (this.#suspects.isOwnJudged(this.#getBegunCrashes(fingerprint))) {
			return QUARANTINE_BLAME;
		}

		const isSuspected = this.#suspects.names.has(fingerprint);
		// Crashes that made way for newer ones were told long ago.
		const isHeard = (runId: string): boolean => (this.#crashes.get(runId)?.at ?? Number.NEGATIVE_INFINITY) < this.#heardUntil;
		return getPartialBlame(this.#ledger, fingerprint, runId => !isSuspected && isHeard(runId));
	}

	#dropOwn(fingerprint: string): void {
		this.#own.delete(fingerprint);
		this.#ledger.quarantined.delete(fingerprint);
		if (this.#until.delete(fingerprint)) {
			this.#parts.logger.info({event: 'request-released', fingerprint, source: 'leader'}, 'the leader does not share the judgement of this gateway');
		}
	}

	#quarantine(fingerprint: string, remainingMs: number, source: 'own' | 'leader'): boolean {
		const now = this.#parts.clock.now();
		const isNew = !this.#until.has(fingerprint);
		this.#until.set(fingerprint, now + remainingMs);
		this.#ledger.quarantined.add(fingerprint);
		if (isNew) {
			this.#parts.logger.warn({
				event: 'request-quarantined',
				fingerprint,
				source,
				remainingMs: Math.round(remainingMs),
				upstreams: [...this.#ledger.runsBySuspect.get(fingerprint) ?? []],
				servedAgoMs: this.#getServedAgoMs(fingerprint),
				evidence: getEvidence(this.#ledger, fingerprint, now),
			}, 'a request is kept from upstreams');
		}

		return isNew;
	}

	/** Time since this gateway last saw a request answered whole, in milliseconds; undefined if it did not. */
	#getServedAgoMs(fingerprint: string): number | undefined {
		const at = this.#ledger.served.get(fingerprint);
		return at === undefined ? undefined : Math.round(this.#parts.clock.now() - at);
	}

	#expire(now: number): void {
		for (const [fingerprint, until] of this.#until) {
			if (now >= until) {
				this.#until.delete(fingerprint);
				this.#own.delete(fingerprint);
				mutateReleased(this.#ledger, fingerprint, true);
			}
		}

		for (const [fingerprint, at] of this.#cleared) {
			if (now - at > TOLD_MS) {
				this.#cleared.delete(fingerprint);
			}
		}

		mutateOldCrashes(this.#ledger, now);
		this.#quarantineBlamed([...this.#ledger.runsBySuspect.keys()]);
		for (const runId of this.#crashes.keys()) {
			if (!this.#ledger.crashes.has(runId)) {
				this.#crashes.delete(runId);
			}
		}
	}

	#release(fingerprint: string): void {
		mutateReleased(this.#ledger, fingerprint, false);
		for (const {run} of this.#crashes.values()) {
			run.suspects.delete(fingerprint);
		}

		if (this.#until.delete(fingerprint)) {
			this.#parts.logger.info({event: 'request-released', fingerprint}, 'a quarantined request may be sent again');
		}
	}
}
