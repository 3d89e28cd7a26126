import {
	RESULT_CODE, type Clock, type ResultCodeValue, type SuspensionWatch, type TimerService,
} from '@valelead/common';
import type {QuarantineList} from '@valelead/protocol';
import {
	type Crash,
	type CrashLedger,
	type WatchedRun,
	QUARANTINE_SCORE,
	QUARANTINE_MS,
	SUSPICION_SCORE,
	getBegunRuns,
	getCrashScore,
	getCrashEvidence,
	getLocalCrashScore,
	isRecentlyServed,
	mutateCrash,
	mutateExpiredCrashes,
	mutateReleasedRequest,
	mutateServedRequest,
	mutateQuarantinedRequests,
	newCrashLedger,
} from '@valelead/quarantine';
import type {Logger} from 'pino';
import type {CrashExchange} from '../follower/crash-exchange.js';
import {decodeFingerprint} from '../follower/decode-fingerprint.js';
import {SegmentQuarantine} from './segment-quarantine.js';
import {SuspectedRequests} from './suspected-requests.js';

type QuarantineParts = {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** Returns the number of gateways that follow the leader, including this one. */
	readonly getGatewayCount: () => number;
	/** Returns the time since the last message of the leader, in milliseconds. */
	readonly getLeaderAgeMs: () => number;
	/** Called when further requests have been quarantined. */
	readonly onQuarantined: () => void;
	/** Called when news of crashes must be reported to the leader immediately. */
	readonly onCrashReportDue: () => void;
	/** Called when all gateways connected to the leader apply the decisions on crashes before `until`, in monotonic milliseconds. */
	readonly onCrashesKnown: (until: number) => void;
	/** Called when no gateway, connected or not, sends requests without knowing of the crashes before `until`, in monotonic milliseconds. */
	readonly onCrashesObeyed: (until: number) => void;
};

type NotedCrash = {
	readonly run: WatchedRun;
	readonly at: number;
	/** True if this gateway held a lease on the leader's list at the time of the crash. */
	readonly isLeased: boolean;
};

/** The result code with which a request is refused, and the time after which its caller may retry. */
type Refusal = {
	readonly code: ResultCodeValue;
	readonly retryAfterMs: number;
};

/** News is repeated in each report to the leader for this time, in milliseconds: several heartbeats, in case a report or the leader is lost. */
const REPORT_REPEAT_MS = 3000;

/**
 * A gateway quarantines requests on its own only if the leader's last message is older than this, in milliseconds: it cannot see the requests that
 * other gateways had at the upstream. The time is two heartbeats, and well below the time in which a quarantine decision must reach all gateways.
 */
const LEADER_SILENCE_MS = 1000;

/** The time in which a gateway has probably found a leader again, in milliseconds: it covers an election with one split vote. */
const LEADER_RETURN_MS = 1500;

/** The most crashes that are kept to be reported to a leader that knows none of them. */
const MAX_CRASHES = 64;

/** The interval at which expired entries are removed and, without a leader, quarantine decisions are made, in milliseconds. */
const EXPIRY_MS = 500;

const toCrash = ({runId, suspects}: WatchedRun): Crash => ({runId, suspects: [...suspects.values()]});

/** The requests that a gateway must not send to upstreams, as the leader decided, or as the gateway decided from the crashes that it observed. */
export class RequestQuarantine implements CrashExchange {
	readonly #parts: QuarantineParts;
	readonly #ledger: CrashLedger = newCrashLedger();
	readonly #suspects: SuspectedRequests;
	readonly #segments: SegmentQuarantine;
	/** The end of each quarantine, by request fingerprint, in monotonic milliseconds. */
	readonly #until = new Map<string, number>();
	readonly #crashes = new Map<string, NotedCrash>();
	/** Fingerprints of blamed requests that were answered since, and when this became news for the leader, in monotonic milliseconds. */
	readonly #cleared = new Map<string, number>();
	/** Fingerprints of the requests that a leader has quarantined. */
	#committed: ReadonlySet<string> = new Set();
	/** Fingerprints of the requests that only this gateway has quarantined, and when it did so, in monotonic milliseconds. */
	readonly #ownDecisions = new Map<string, number>();
	/** A leader has received the crashes that were recorded before this time, in monotonic milliseconds. */
	#reportedUntil = Number.NEGATIVE_INFINITY;
	/** The version of the leader's list that is applied; 0 before the first list of a session. */
	#version = 0;

	constructor(parts: QuarantineParts) {
		this.#parts = parts;
		this.#suspects = new SuspectedRequests(parts);
		this.#segments = new SegmentQuarantine({...parts, ledger: this.#ledger});
		parts.timers.repeat(EXPIRY_MS, now => {
			this.#expire(now);
		});
	}

	/** Number of quarantined requests and sets of prompt segments. */
	get size(): number {
		return this.#until.size + this.#segments.size;
	}

	/** True if no request is quarantined or was in progress at a crash, so that all requests may be sent. */
	get isEmpty(): boolean {
		return this.#until.size === 0 && this.#segments.isEmpty && this.#suspects.isEmpty && this.#ledger.runsBySuspect.size === 0;
	}

	/** Time until all leases that other gateways got while this gateway held its own have expired, in milliseconds; 0 once they have. */
	get peerLeasesExpireInMs(): number {
		return this.#suspects.peerLeasesExpireInMs;
	}

	/**
	 * Returns the reason for which a request must not be sent, or undefined if it may be sent.
	 * @param segments - Fingerprints of the segments of its prompt that other prompts may share.
	 */
	getRefusal(fingerprint: string, segments: readonly string[] = []): Refusal | undefined {
		const remainingMs = this.getRemainingMs(fingerprint, segments);
		if (remainingMs > 0) {
			return {code: RESULT_CODE.RequestQuarantined, retryAfterMs: remainingMs};
		}

		const isPaused = this.#isPaused(fingerprint) || segments.some(segment => this.#isSegmentPaused(segment));
		return isPaused ? {code: RESULT_CODE.RequestSuspected, retryAfterMs: LEADER_RETURN_MS} : undefined;
	}

	/** Returns the time for which a request remains quarantined, in milliseconds; 0 if neither it nor a set of its segments is quarantined. */
	getRemainingMs(fingerprint: string, segments: readonly string[] = []): number {
		return Math.max(0, (this.#until.get(fingerprint) ?? 0) - this.#parts.clock.now(), this.#segments.getRemainingMs(segments));
	}

	/** Returns true if a request's crash score is so high that it must not be retried on a second upstream. */
	isSuspected(fingerprint: string): boolean {
		return this.isBlamedByLeader(fingerprint) || getCrashScore(this.#ledger, fingerprint) >= SUSPICION_SCORE;
	}

	/** Returns true if a request is quarantined, or if the leader suspects it of more than one crash. */
	isBlamedByLeader(fingerprint: string): boolean {
		return this.#until.has(fingerprint) || this.#suspects.fingerprints.has(fingerprint);
	}

	/** Returns true if a request got a complete response so recently that it is not blamed for crashes. */
	isServedLately(fingerprint: string): boolean {
		return isRecentlyServed(this.#ledger.lastServedTimes, fingerprint, this.#parts.clock.now());
	}

	/** Returns true if an upstream recently ran a prompt of this gateway with a segment. */
	isSegmentProvenLately(segment: string): boolean {
		return this.#segments.isProvenLately(segment);
	}

	/** Records the crash of an upstream with requests of this gateway in progress. Called again when further requests turn out to have been there. */
	noteCrash(run: WatchedRun): void {
		const now = this.#parts.clock.now();
		if (this.#crashes.size >= MAX_CRASHES) {
			const [oldest] = this.#crashes.keys();
			this.#crashes.delete(oldest);
		}

		const isLeased = this.#crashes.get(run.runId)?.isLeased ?? this.#suspects.hasLease;
		this.#crashes.set(run.runId, {run, at: now, isLeased});
		mutateCrash(this.#ledger, toCrash(run), now);
		this.#segments.refresh();
		this.#quarantineBlamed([...run.suspects.keys()]);
	}

	/** Records that an upstream runs a request with these prompt segments; returns true if the leader should learn of it. */
	noteRunning(segments: readonly string[]): boolean {
		const news = this.#segments.noteProven(segments, segment => this.#suspects.fingerprints.has(segment));
		for (const segment of news) {
			this.#cleared.set(segment, this.#parts.clock.now());
		}

		return news.length > 0;
	}

	/** Records that a request got a complete response; returns true if the leader should learn of it. */
	noteServed(fingerprint: string): boolean {
		const now = this.#parts.clock.now();
		const isNews = mutateServedRequest(this.#ledger, fingerprint, now) || this.#suspects.fingerprints.has(fingerprint) || this.#until.has(fingerprint);
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

		const newsSince = this.#parts.clock.now() - REPORT_REPEAT_MS;
		const crashes = [...this.#crashes.values()].filter(({at}) => isFirst || at > newsSince).map(({run}) => toCrash(run));
		const served = [...this.#cleared].filter(([, at]) => at > newsSince).map(([fingerprint]) => fingerprint);
		return {crashes, served, quarantineVersion: this.#version};
	}

	applyQuarantine({quarantined, suspected, paused, released, version}: QuarantineList, isLeaders: boolean): void {
		let hasNew = false;
		this.#committed = new Set(quarantined.map(({fingerprint}) => decodeFingerprint(fingerprint)));
		for (const entry of quarantined) {
			const isNew = entry.segments.length > 0 ? this.#segments.apply(entry) : this.#quarantine(decodeFingerprint(entry.fingerprint), entry.remainingMs, 'leader');
			hasNew ||= isNew;
		}

		if (isLeaders) {
			this.#version = version;
			this.#suspects.take(suspected.map(fingerprint => decodeFingerprint(fingerprint)), paused.map(fingerprint => decodeFingerprint(fingerprint)));
		}

		this.#reportServed([...this.#suspects.fingerprints, ...quarantined.map(({fingerprint}) => decodeFingerprint(fingerprint))]);
		this.#reportCleared(quarantined.flatMap(entry => this.#segments.getProvenSince(entry)));
		for (const fingerprint of released) {
			this.#release(decodeFingerprint(fingerprint));
		}

		if (hasNew) {
			this.#parts.onQuarantined();
		}
	}

	/** Revokes this gateway's own decisions that the leader has not made too, as the leader knows at least as much as this gateway. */
	noteReported(reportedAt: number, isLeaseGranted: boolean): void {
		if (isLeaseGranted) {
			this.#suspects.confirm(reportedAt);
		}

		this.#reportedUntil = Math.max(this.#reportedUntil, reportedAt);
		for (const [fingerprint, judgedAt] of this.#ownDecisions) {
			if (this.#committed.has(fingerprint)) {
				this.#ownDecisions.delete(fingerprint);
			} else if (judgedAt < reportedAt) {
				this.#revokeOwnDecision(fingerprint);
			}
		}
	}

	noteReachableGatewaysApplied(reportedAt: number): void {
		this.#parts.onCrashesKnown(reportedAt);
	}

	noteAllGatewaysApplied(reportedAt: number): void {
		this.#parts.onCrashesObeyed(reportedAt);
	}

	/** Returns true if a request must not be sent for now, because the leader paused it or because it might crash a fourth upstream. */
	#isPaused(fingerprint: string): boolean {
		return !this.isServedLately(fingerprint) && this.#suspects.isPaused(fingerprint, this.#getBegunCrashes(fingerprint));
	}

	/**
	 * Returns the crashes at which the response to a request had just begun. Crashes that were evicted for newer ones count as leased, so that other
	 * gateways may have lost upstreams to the same request.
	 */
	#getBegunCrashes(fingerprint: string): ReadonlyArray<Pick<NotedCrash, 'isLeased'>> {
		return this.#getNotedCrashes(getBegunRuns(this.#ledger, fingerprint));
	}

	#getNotedCrashes(runIds: Iterable<string>): ReadonlyArray<Pick<NotedCrash, 'isLeased'>> {
		return [...runIds].map(runId => this.#crashes.get(runId) ?? {isLeased: true});
	}

	/** Returns true if prompts with a segment must not be sent for now, because the segment might crash more upstreams than a leader knows of. */
	#isSegmentPaused(segment: string): boolean {
		return !this.#segments.isProvenLately(segment) && this.#suspects.isPaused(segment, this.#getNotedCrashes(this.#segments.getRuns(segment)));
	}

	/** Reports blamed requests that were answered here recently to the leader, which may know only of their crashes. */
	#reportServed(fingerprints: readonly string[]): void {
		this.#reportCleared(fingerprints.filter(fingerprint => this.isServedLately(fingerprint)));
	}

	#reportCleared(fingerprints: readonly string[]): void {
		const now = this.#parts.clock.now();
		const cleared = fingerprints.filter(fingerprint => !this.#cleared.has(fingerprint));
		for (const fingerprint of cleared) {
			this.#cleared.set(fingerprint, now);
		}

		if (cleared.length > 0) {
			this.#parts.onCrashReportDue();
		}
	}

	#quarantineBlamed(fingerprints: readonly string[]): void {
		if (this.#parts.getLeaderAgeMs() <= LEADER_SILENCE_MS) {
			return;
		}

		const quarantined = mutateQuarantinedRequests(this.#ledger, fingerprints, fingerprint => this.#getOwnBlame(fingerprint));
		for (const fingerprint of quarantined) {
			this.#ownDecisions.set(fingerprint, this.#parts.clock.now());
			this.#quarantine(fingerprint, QUARANTINE_MS, 'own');
		}

		const segmentSets = this.#segments.decide();
		for (const id of segmentSets) {
			this.#ownDecisions.set(id, this.#parts.clock.now());
		}

		if (quarantined.length + segmentSets.length > 0) {
			this.#parts.onQuarantined();
		}
	}

	#getOwnBlame(fingerprint: string): number {
		if (this.#suspects.isLocallyQuarantined(this.#getBegunCrashes(fingerprint))) {
			return QUARANTINE_SCORE;
		}

		const isSuspected = this.#suspects.fingerprints.has(fingerprint);
		// Crashes that were evicted for newer ones were reported long ago.
		const isReported = (runId: string): boolean => (this.#crashes.get(runId)?.at ?? Number.NEGATIVE_INFINITY) < this.#reportedUntil;
		return getLocalCrashScore(this.#ledger, fingerprint, runId => !isSuspected && isReported(runId));
	}

	#revokeOwnDecision(fingerprint: string): void {
		this.#ownDecisions.delete(fingerprint);
		this.#ledger.quarantined.delete(fingerprint);
		if (this.#until.delete(fingerprint) || this.#segments.revoke(fingerprint)) {
			this.#parts.logger.info({event: 'request-released', fingerprint, source: 'leader'}, 'the leader did not confirm the quarantine decision of this gateway');
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
				evidence: getCrashEvidence(this.#ledger, fingerprint, now),
			}, 'a request is kept from upstreams');
		}

		return isNew;
	}

	/** Returns the time since a request last got a complete response at this gateway, in milliseconds; undefined if it never did. */
	#getServedAgoMs(fingerprint: string): number | undefined {
		const at = this.#ledger.lastServedTimes.get(fingerprint);
		return at === undefined ? undefined : Math.round(this.#parts.clock.now() - at);
	}

	#expire(now: number): void {
		for (const [fingerprint, until] of this.#until) {
			if (now >= until) {
				this.#until.delete(fingerprint);
				this.#ownDecisions.delete(fingerprint);
				mutateReleasedRequest(this.#ledger, fingerprint, true);
			}
		}

		for (const id of this.#segments.expire(now)) {
			this.#ownDecisions.delete(id);
		}

		for (const [fingerprint, at] of this.#cleared) {
			if (now - at > REPORT_REPEAT_MS) {
				this.#cleared.delete(fingerprint);
			}
		}

		mutateExpiredCrashes(this.#ledger, now);
		this.#segments.refresh();
		this.#quarantineBlamed([...this.#ledger.runsBySuspect.keys()]);
		for (const runId of this.#crashes.keys()) {
			if (!this.#ledger.crashes.has(runId)) {
				this.#crashes.delete(runId);
			}
		}
	}

	#release(fingerprint: string): void {
		mutateReleasedRequest(this.#ledger, fingerprint, false);
		for (const {run} of this.#crashes.values()) {
			run.suspects.delete(fingerprint);
		}

		if (this.#until.delete(fingerprint) || this.#segments.release(fingerprint, false)) {
			this.#parts.logger.info({event: 'request-released', fingerprint}, 'a quarantined request may be sent again');
		}
	}
}
