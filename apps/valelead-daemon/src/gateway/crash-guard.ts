import {
	type Clock, type SuspensionWatch, type TimerService, assertNever,
} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import {
	type Suspect, type SuspectPhaseValue, SUSPECT_PHASE, getSegmentFingerprint,
} from '@valelead/quarantine';
import type {Logger} from 'pino';
import type {CrashExchange} from '../follower/crash-exchange.js';
import type {StallWatch} from '../stall-watch.js';
import {PEER_LEASES_EXPIRY_MS} from './peer-leases-expiry-ms.js';
import {CONNECTION_STATE} from './connection-state.js';
import {CrashObserver} from './crash-observer.js';
import {DeferredFailures} from './deferred-failures.js';
import {getRequestFingerprint} from './get-request-fingerprint.js';
import {RequestQuarantine} from './request-quarantine.js';
import type {AttemptFailure} from './attempt-failure.js';
import type {CrashCallbacks} from './crash-callbacks.js';
import type {GatewayRequest} from './gateway-request.js';

type GuardParts = CrashCallbacks & {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly stalls: Pick<StallWatch, 'isStalled'>;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** Returns the number of gateways that follow the leader, including this one. */
	readonly getGatewayCount: () => number;
	/** Called when further requests have been quarantined. */
	readonly onQuarantined: () => void;
};

type HoldLimit = {
	/** The longest time for which the failure of an attempt is held back while no message of the leader arrives, in milliseconds. */
	readonly mostMs: number;
	/** The failure is not held back if the last message of the leader is older than this, in milliseconds. */
	readonly leaderAgeMs: number;
};

/**
 * Limit for attempts without a response. The time covers a probe of the port, a report to the leader and its propagation to the gateways that the
 * leader hears.
 */
const WAITING_LIMIT: HoldLimit = {mostMs: 500, leaderAgeMs: 800};

/**
 * Limit for attempts whose response had just begun. Other gateways may have got leases until a leader noticed that this gateway is disconnected, so
 * the failure is held back until those leases expire. By then, an upstream that restarted unnoticed has also announced its new run. Once the leader's
 * last message is older than this limit, other gateways no longer count this gateway.
 */
const BEGUN_LIMIT: HoldLimit = {mostMs: PEER_LEASES_EXPIRY_MS, leaderAgeMs: 10_000};

/** Protects upstreams from requests that crash them: records which requests were in progress at each crash and decides which must not be sent. */
export class CrashGuard {
	readonly #parts: GuardParts;
	readonly #quarantine: RequestQuarantine;
	readonly #observer: CrashObserver;
	readonly #losses: DeferredFailures;

	constructor(parts: GuardParts) {
		this.#parts = parts;
		this.#losses = new DeferredFailures(parts.timers, parts.clock);
		this.#quarantine = new RequestQuarantine({
			...parts,
			onCrashesKnown: until => {
				this.#losses.releaseKnown(until);
			},
			onCrashesObeyed: until => {
				this.#losses.releaseApplied(until);
			},
		});
		this.#observer = new CrashObserver({
			...parts,
			onCrash: (run, isFirst) => {
				this.#quarantine.noteCrash(run);
				this.#losses.markCrashed(run.runId);
				parts.onCrashReportDue();
				if (isFirst) {
					parts.onCrash();
				}
			},
			onReachable: upstreamId => {
				this.#losses.releaseAlive(upstreamId);
			},
		});
	}

	/** Exchanges crash reports and quarantine decisions with the leader. */
	get exchange(): CrashExchange {
		return this.#quarantine;
	}

	get quarantinedCount(): number {
		return this.#quarantine.size;
	}

	/** Returns the time for which a request remains quarantined, in milliseconds; 0 if it is not quarantined. */
	getQuarantineMs(request: GatewayRequest): number {
		return this.#quarantine.size === 0 ? 0 : this.#quarantine.getRemainingMs(this.#getFingerprint(request), this.#getSegments(request));
	}

	/** Returns the reason for which a request must not be sent, or undefined if it may be sent. */
	getRefusal(request: GatewayRequest): ReturnType<RequestQuarantine['getRefusal']> {
		return this.#quarantine.isEmpty ? undefined : this.#quarantine.getRefusal(this.#getFingerprint(request), this.#getSegments(request));
	}

	setUpstreams(upstreams: readonly Upstream[]): void {
		this.#observer.setUpstreams(upstreams);
	}

	/**
	 * Handles an attempt that ended without a complete response and passes the failure on. This happens immediately, unless the request may have crashed
	 * the upstream: then it happens once all gateways know of the crash.
	 * @param passOn - Called with true if the request must not be sent to another upstream. A request that merely waited at its first crash may still be
	 * sent to a second upstream.
	 */
	noteEnd(request: GatewayRequest, upstream: Upstream, end: AttemptFailure, passOn: (isLast: boolean) => void): void {
		switch (end.connection) {
			case CONNECTION_STATE.Intact: {
				passOn(false);
				break;
			}

			case CONNECTION_STATE.Broken: {
				this.#handleBrokenConnection(request, upstream, end, passOn);
				break;
			}

			case CONNECTION_STATE.Refused: {
				this.#observer.recordRefusedConnection(upstream.id);
				passOn(false);
				break;
			}

			default: {
				assertNever(end.connection);
			}
		}
	}

	/**
	 * Records that a request was answered. Every response counts, even before any crash: a request that callers send all the time is in progress at each
	 * of several engines that crash at the same time, and would otherwise be blamed.
	 */
	noteServed(request: GatewayRequest): void {
		if (this.#quarantine.noteServed(this.#getFingerprint(request))) {
			this.#parts.onCrashReportDue();
		}
	}

	/** Records that an upstream goes on with its response to a request, so that the segments of the prompt did not crash it. */
	noteRunning(request: GatewayRequest): void {
		if (this.#quarantine.noteRunning(this.#getSegments(request))) {
			this.#parts.onCrashReportDue();
		}
	}

	#handleBrokenConnection(request: GatewayRequest, {id, address}: Upstream, {phase}: AttemptFailure, passOn: (isLast: boolean) => void): void {
		const fingerprint = this.#getFingerprint(request);
		const isServedRecently = this.#quarantine.isServedLately(fingerprint);
		// A request whose response body had begun, or that was answered recently, is unlikely to have crashed its upstream.
		const isPossibleCause = phase !== SUSPECT_PHASE.Running && !isServedRecently && !this.#observer.isLeaving(id);
		// If the request caused the crash, a retry would crash the next upstream too. If not, it could run beside the actual cause again and be blamed.
		const hadBegun = isPossibleCause && phase === SUSPECT_PHASE.Begun;
		const isSuspected = this.#quarantine.isSuspected(fingerprint);
		const maxDeferMs = isPossibleCause ? this.#getHoldMs(hadBegun) : 0;
		if (!isServedRecently) {
			this.#observer.recordBrokenConnection({upstreamId: id, address, suspect: this.#newSuspect(request, phase)});
		}

		if (maxDeferMs === 0) {
			passOn(isSuspected || hadBegun);
			return;
		}

		const heldAt = this.#parts.clock.now();
		const getExtensionMs = () => this.#observer.isCrashed(id) ? this.#quarantine.peerLeasesExpireInMs : 0;
		this.#losses.defer({
			runId: id, isCrashed: this.#observer.isCrashed(id), maxDeferMs, ...(hadBegun && {getExtensionMs}),
		}, isAlive => {
			this.#parts.logger.info({
				event: 'loss-held', requestId: request.head.id, upstreamId: id, phase, heldMs: Math.round(this.#parts.clock.now() - heldAt),
			}, 'the failure of an attempt was held back until the gateways knew of the possible crash');
			passOn(isSuspected || (hadBegun && !isAlive) || this.#quarantine.isBlamedByLeader(fingerprint));
		});
	}

	/**
	 * Returns how long the failure of a request that may have crashed its upstream is held back, in milliseconds; 0 if the leader's last message is too
	 * old. A request whose response had just begun probably caused the crash, so its failure is held back until no other gateway can send the request
	 * without knowing of the crash: other gateways may be connected to a leader that this gateway cannot reach.
	 */
	#getHoldMs(hadBegun: boolean): number {
		const {mostMs, leaderAgeMs} = hadBegun ? BEGUN_LIMIT : WAITING_LIMIT;
		return this.#parts.getLeaderAgeMs() <= leaderAgeMs ? mostMs : 0;
	}

	#newSuspect(request: GatewayRequest, phase: SuspectPhaseValue): Suspect {
		const segments = this.#getSegments(request);
		const hasOnePart = phase === SUSPECT_PHASE.Running && request.lastChunkAt === request.firstChunkAt;
		return {
			fingerprint: this.#getFingerprint(request),
			phase,
			...(segments.length > 0 && {
				segments: {
					fingerprints: segments,
					provenBefore: segments.filter(segment => this.#quarantine.isSegmentProvenLately(segment)),
					phase: hasOnePart ? SUSPECT_PHASE.Begun : phase,
				},
			}),
		};
	}

	#getSegments(request: GatewayRequest): readonly string[] {
		request.segments ??= request.head.sharedSegments.map(id => getSegmentFingerprint(request.caller.team?.name ?? '', id));
		return request.segments;
	}

	#getFingerprint(request: GatewayRequest): string {
		request.fingerprint ??= getRequestFingerprint(request);
		return request.fingerprint;
	}
}
