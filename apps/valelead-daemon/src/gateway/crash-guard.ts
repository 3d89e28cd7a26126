import {type Clock, type TimerService, assertNever} from '@valelead/common';
import type {Upstream} from '@valelead/discovery';
import {SUSPECT_PHASE} from '@valelead/quarantine';
import type {Logger} from 'pino';
import type {CrashExchange} from '../follower/crash-exchange.js';
import {CONNECTION_END} from './connection-end.js';
import {CrashObserver} from './crash-observer.js';
import {HeldLosses} from './held-losses.js';
import {getRequestFingerprint} from './get-request-fingerprint.js';
import {RequestQuarantine} from './request-quarantine.js';
import type {AttemptEnd} from './attempt-end.js';
import type {CrashEvents} from './crash-events.js';
import type {GatewayRequest} from './gateway-request.js';

type GuardParts = CrashEvents & {
	readonly clock: Clock;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Hears that more requests are quarantined. */
	readonly onQuarantined: () => void;
};

type HoldLimit = {
	/** The longest time that a lost attempt is held, in milliseconds. */
	readonly mostMs: number;
	/** A leader that was not heard for longer is not waited for, in milliseconds. */
	readonly leaderAgeMs: number;
};

/** What merely waited is held for a look at the port, a report and its way to all gateways. */
const WAITING_LIMIT: HoldLimit = {mostMs: 500, leaderAgeMs: 800};

/** What had just begun is probably what crashed the upstream, so it is held while a session breaks and begins anew, too. */
const BEGUN_LIMIT: HoldLimit = {mostMs: 2000, leaderAgeMs: 3000};

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
			onAlive: upstreamId => {
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

	/** How long a request is kept from upstreams, in milliseconds; 0 where it may be sent. */
	getQuarantineMs(request: GatewayRequest): number {
		return this.#quarantine.size === 0 ? 0 : this.#quarantine.getRemainingMs(this.#getFingerprint(request));
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
		const isBroken = end.connection === CONNECTION_END.Broken;
		const isSuspected = isBroken && this.#quarantine.isSuspected(this.#getFingerprint(request));
		const hadBegun = isBroken && this.#hadBegun(request, upstream, end);
		const mostMs = isBroken ? this.#getHoldMs(request, upstream, end) : 0;
		this.#noteConnection(request, upstream, end);
		if (mostMs === 0) {
			passOn(isSuspected || hadBegun);
			return;
		}

		const heldAt = this.#parts.clock.now();
		this.#losses.hold({runId: upstream.id, isCrashed: this.#observer.isCrashed(upstream.id), mostMs}, isAlive => {
			this.#parts.logger.info({
				event: 'loss-held', requestId: request.head.id, upstreamId: upstream.id, phase: end.phase, heldMs: Math.round(this.#parts.clock.now() - heldAt),
			}, 'a lost attempt was held until gateways know what the loss says of its request');
			passOn(isSuspected || (hadBegun && !isAlive) || this.#quarantine.isBlamedByLeader(this.#getFingerprint(request)));
		});
	}

	/** Every answer counts, also before anything crashed: what callers ask all the time is at each of several engines that crash at once. */
	noteServed(request: GatewayRequest): void {
		if (this.#quarantine.noteServed(this.#getFingerprint(request))) {
			this.#parts.onCrashNews();
		}
	}

	/**
	 * Whether a request had just begun at an upstream that may have crashed. If it caused the crash, the next upstream would be lost too; if not, it would
	 * begin beside the guilty request once more, and look guilty itself.
	 */
	#hadBegun(request: GatewayRequest, {id}: Upstream, {phase}: AttemptEnd): boolean {
		return phase === SUSPECT_PHASE.Begun && !this.#observer.isLeaving(id) && !this.#quarantine.isServedLately(this.#getFingerprint(request));
	}

	/** For how long a lost attempt may be held; 0 where it had run for a while or the request was answered lately, so that it hardly crashed its upstream. */
	#getHoldMs(request: GatewayRequest, {id}: Upstream, {phase}: AttemptEnd): number {
		if (phase === SUSPECT_PHASE.Running || this.#observer.isLeaving(id) || this.#quarantine.isServedLately(this.#getFingerprint(request))) {
			return 0;
		}

		const {mostMs, leaderAgeMs} = phase === SUSPECT_PHASE.Begun ? BEGUN_LIMIT : WAITING_LIMIT;
		return this.#parts.getLeaderAgeMs() <= leaderAgeMs ? mostMs : 0;
	}

	#getFingerprint(request: GatewayRequest): string {
		request.fingerprint ??= getRequestFingerprint(request);
		return request.fingerprint;
	}

	#noteConnection(request: GatewayRequest, {id, address}: Upstream, {connection, phase}: AttemptEnd): void {
		switch (connection) {
			case CONNECTION_END.Intact: {
				break;
			}

			case CONNECTION_END.Broken: {
				const fingerprint = this.#getFingerprint(request);
				if (!this.#quarantine.isServedLately(fingerprint)) {
					this.#observer.noteBroken({upstreamId: id, address, suspect: {fingerprint, phase}});
				}

				break;
			}

			case CONNECTION_END.Refused: {
				this.#observer.noteRefused(id);
				break;
			}

			default: {
				assertNever(connection);
			}
		}
	}
}
