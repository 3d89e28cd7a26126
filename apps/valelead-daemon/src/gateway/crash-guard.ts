import {
	type Clock, type SuspensionWatch, type TimerService, assertNever,
} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import {SUSPECT_PHASE} from '@valelead/quarantine';
import type {Logger} from 'pino';
import type {CrashExchange} from '../follower/crash-exchange.js';
import type {StallWatch} from '../stall-watch.js';
import {PEER_LEASES_EXPIRY_MS} from './peer-leases-expiry-ms.js';
import {CONNECTION_END} from './connection-end.js';
import {CrashObserver} from './crash-observer.js';
import {HeldLosses} from './held-losses.js';
import {getRequestFingerprint} from './get-request-fingerprint.js';
import {RequestQuarantine} from './request-quarantine.js';
import type {AttemptEnd} from './attempt-end.js';
import type {CrashCallbacks} from './crash-callbacks.js';
import type {GatewayRequest} from './gateway-request.js';

type GuardParts = CrashCallbacks & {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly stalls: Pick<StallWatch, 'isStalled'>;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	/** Gateways that follow the leader, this one among them. */
	readonly getGatewayCount: () => number;
	/** Hears that more requests are quarantined. */
	readonly onQuarantined: () => void;
};

type HoldLimit = {
	/** The longest time that a lost attempt is held while no leader is heard, in milliseconds. */
	readonly mostMs: number;
	/** A leader that was not heard for longer is not waited for, in milliseconds. */
	readonly leaderAgeMs: number;
};

/** What merely waited is held for a look at the port, a report and its way to the gateways that are heard. */
const WAITING_LIMIT: HoldLimit = {mostMs: 500, leaderAgeMs: 800};

/**
 * What had just begun is held until the leases of other gateways are out, which they may have got until a leader noticed that this one is away. An upstream
 * that came back unnoticed has announced its next run by then. Later than the leader's age here, other gateways do not reckon with this one any more.
 */
const BEGUN_LIMIT: HoldLimit = {mostMs: PEER_LEASES_EXPIRY_MS, leaderAgeMs: 10_000};

/** Keeps requests that crash upstreams from them: follows which requests lose upstreams, and knows which must not be sent. */
export class CrashGuard {
	readonly #parts: GuardParts;
	readonly #quarantine: RequestQuarantine;
	readonly #observer: CrashObserver;
	readonly #losses: HeldLosses;

	constructor(parts: GuardParts) {
		this.#parts = parts;
		this.#losses = new HeldLosses(parts.timers, parts.clock);
		this.#quarantine = new RequestQuarantine({
			...parts,
			onCrashesKnown: until => {
				this.#losses.noteKnown(until);
			},
			onCrashesObeyed: until => {
				this.#losses.noteObeyed(until);
			},
		});
		this.#observer = new CrashObserver({
			...parts,
			onCrash: (run, isFirst) => {
				this.#quarantine.noteCrash(run);
				this.#losses.noteCrash(run.runId);
				parts.onCrashNews();
				if (isFirst) {
					parts.onCrash();
				}
			},
			onReachable: upstreamId => {
				this.#losses.noteAlive(upstreamId);
			},
		});
	}

	/** Passes crashes on to the leader, and its judgements back. */
	get exchange(): CrashExchange {
		return this.#quarantine;
	}

	get quarantinedCount(): number {
		return this.#quarantine.size;
	}

	/** How long a request is quarantined, in milliseconds; 0 where it is not. */
	getQuarantineMs(request: GatewayRequest): number {
		return this.#quarantine.size === 0 ? 0 : this.#quarantine.getRemainingMs(this.#getFingerprint(request));
	}

	/** Why a request is kept from upstreams; undefined where it may be sent. */
	getRefusal(request: GatewayRequest): ReturnType<RequestQuarantine['getRefusal']> {
		return this.#quarantine.isEmpty ? undefined : this.#quarantine.getRefusal(this.#getFingerprint(request));
	}

	setUpstreams(upstreams: readonly Upstream[]): void {
		this.#observer.setUpstreams(upstreams);
	}

	/**
	 * Takes the end of an attempt that gave no whole answer, and passes it on: at once, or where the upstream may have crashed under the request, once
	 * all gateways know of it.
	 * @param passOn - Hears whether no other upstream must be risked with the request. What had merely waited at a first crash keeps its second upstream.
	 */
	noteEnd(request: GatewayRequest, upstream: Upstream, end: AttemptEnd, passOn: (isLast: boolean) => void): void {
		switch (end.connection) {
			case CONNECTION_END.Intact: {
				passOn(false);
				break;
			}

			case CONNECTION_END.Broken: {
				this.#noteBroken(request, upstream, end, passOn);
				break;
			}

			case CONNECTION_END.Refused: {
				this.#observer.recordRefusedConnection(upstream.id);
				passOn(false);
				break;
			}

			default: {
				assertNever(end.connection);
			}
		}
	}

	/** Every answer counts, also before anything crashed: what callers ask all the time is at each of several engines that crash at once. */
	noteServed(request: GatewayRequest): void {
		if (this.#quarantine.noteServed(this.#getFingerprint(request))) {
			this.#parts.onCrashNews();
		}
	}

	#noteBroken(request: GatewayRequest, {id, address}: Upstream, {phase}: AttemptEnd, passOn: (isLast: boolean) => void): void {
		const fingerprint = this.#getFingerprint(request);
		const isServedLately = this.#quarantine.isServedLately(fingerprint);
		// What had run for a while, or was answered lately, hardly crashed its upstream.
		const isPossibleCause = phase !== SUSPECT_PHASE.Running && !isServedLately && !this.#observer.isLeaving(id);
		// If it caused the crash, the next upstream would be lost too; if not, it would begin beside the guilty request once more, and look guilty itself.
		const hadBegun = isPossibleCause && phase === SUSPECT_PHASE.Begun;
		const isSuspected = this.#quarantine.isSuspected(fingerprint);
		const mostMs = isPossibleCause ? this.#getHoldMs(hadBegun) : 0;
		if (!isServedLately) {
			this.#observer.recordBrokenConnection({upstreamId: id, address, suspect: {fingerprint, phase}});
		}

		if (mostMs === 0) {
			passOn(isSuspected || hadBegun);
			return;
		}

		const heldAt = this.#parts.clock.now();
		const getMoreMs = () => this.#observer.isCrashed(id) ? this.#quarantine.peerLeasesExpireInMs : 0;
		this.#losses.hold({
			runId: id, isCrashed: this.#observer.isCrashed(id), mostMs, ...(hadBegun && {getMoreMs}),
		}, isAlive => {
			this.#parts.logger.info({
				event: 'loss-held', requestId: request.head.id, upstreamId: id, phase, heldMs: Math.round(this.#parts.clock.now() - heldAt),
			}, 'a lost attempt was held until gateways know what the loss says of its request');
			passOn(isSuspected || (hadBegun && !isAlive) || this.#quarantine.isBlamedByLeader(fingerprint));
		});
	}

	/**
	 * For how long a lost attempt of a request that may have crashed its upstream is held; 0 where no leader was heard for a while. What had just begun is
	 * probably what crashed the upstream, so it is held until no other gateway can send it without knowing of the crash: they may hear a leader that this
	 * one does not.
	 */
	#getHoldMs(hadBegun: boolean): number {
		const {mostMs, leaderAgeMs} = hadBegun ? BEGUN_LIMIT : WAITING_LIMIT;
		return this.#parts.getLeaderAgeMs() <= leaderAgeMs ? mostMs : 0;
	}

	#getFingerprint(request: GatewayRequest): string {
		request.fingerprint ??= getRequestFingerprint(request);
		return request.fingerprint;
	}
}
