import {
	type Clock, Coalescer, OUTCOME, type OutcomeValue, RESULT_CODE, RESULT_DETAILS, type ResultCodeValue, type SuspensionWatch, type TimerService, visitAll,
} from '@valelead/common';
import {
	type AdmissionEffect, type AdmissionEvent, type AdmissionSettings, type AdmissionState, getAcceptableCount, isRetryAllowed, mutateAdmission, newAdmissionState,
} from '@valelead/admission';
import type {Upstream} from '@valelead/discovery';
import type {RouteTable} from '@valelead/routing';
import type {EngineReport} from '@valelead/protocol';
import type {Logger} from 'pino';
import type {CallerCodec} from '../adapter/caller-codec.js';
import type {CrashExchange} from '../follower/crash-exchange.js';
import {StallWatch} from '../stall-watch.js';
import type {LimitExchange} from '../follower/limit-exchange.js';
import type {OriginRecorder} from '../stream-origins/origin-recorder.js';
import {ActiveAttempts} from './active-attempts.js';
import {CrashGuard} from './crash-guard.js';
import {DemandReporter} from './demand-reporter.js';
import {DispatchLog} from './dispatch-log.js';
import {ContinuationTargets} from './continuation-targets.js';
import {getAdmissionTarget} from './get-admission-target.js';
import {getCallerResultCode} from './get-caller-result-code.js';
import {getRequestOriginKey} from './get-request-origin-key.js';
import {isContinuable} from './is-continuable.js';
import {isResumption} from './is-resumption.js';
import {LoadPlanner} from './load-planner.js';
import {newOriginRecord} from './new-origin-record.js';
import {newAttemptFailure} from './new-attempt-failure.js';
import {newAdmissionRequest} from './new-admission-request.js';
import {TeamShares} from './team-shares.js';
import {UNLIMITED_REQUESTS} from './unlimited-requests.js';
import {UpstreamRateLimiter} from './upstream-rate-limiter.js';
import {UpstreamTable} from './upstream-table.js';
import type {AttemptFailure} from './attempt-failure.js';
import type {AttemptOptions} from './attempt-options.js';
import type {CrashCallbacks} from './crash-callbacks.js';
import type {EngineLinks} from './engine-links.js';
import type {GatewayRequest} from './gateway-request.js';
import type {RequestCallbacks} from './request-callbacks.js';
import type {SentAttempt} from './sent-attempt.js';

type DispatcherParts = CrashCallbacks & RequestCallbacks & {
	readonly getSettings: () => AdmissionSettings;
	readonly codec: CallerCodec;
	readonly timers: TimerService;
	readonly clock: Clock;
	/** Returns a uniformly distributed number in [0, 1). */
	readonly random: () => number;
	readonly logger: Logger;
	readonly residency: EngineLinks;
	readonly origins: OriginRecorder;
	readonly getTable: () => RouteTable | undefined;
	/** The setting `scheduling.loadForecast`; false if absent. */
	readonly isLoadForecast?: boolean;
	readonly getGatewayCount: () => number;
	/** Starts an attempt, which sends the request to the upstream. */
	readonly newAttempt: (terms: AttemptOptions) => SentAttempt;
	/** Called when rate limits of upstreams, or requests that wait because of them, must be reported to the leader immediately. */
	readonly onLimitReportDue: () => void;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly onEnd: (request: GatewayRequest, code: ResultCodeValue, outcome: OutcomeValue, reason: string) => void;
};

type Dispatch = Extract<AdmissionEffect, {kind: 'dispatch'}>;

/** Interval at which deadlines and timeouts are checked, in milliseconds. */
const TICK_MS = 50;

/** Time for which the report of a sidecar is delayed, so that reports of several sidecars are applied together, in milliseconds. */
const REFRESH_COALESCE_MS = 25;

/** The shortest Retry-After time, in milliseconds. It is short, as engines swap models within about a second. */
const MIN_RETRY_AFTER_MS = 250;

/** Dispatches the requests of a gateway to upstreams as its admission decides, forwards the responses, and retries or refuses requests. */
export class RequestDispatcher {
	/** Exchanges with the leader what is dispatched of each team. */
	readonly teamShares: TeamShares;
	readonly #parts: DispatcherParts;
	readonly #state: AdmissionState = newAdmissionState(MIN_RETRY_AFTER_MS);
	readonly #requests = new Map<string, GatewayRequest>();
	readonly #attempts: ActiveAttempts;
	readonly #continuations = new ContinuationTargets();
	readonly #log: DispatchLog;
	readonly #book: UpstreamTable;
	readonly #demand: DemandReporter;
	readonly #crashes: CrashGuard;
	readonly #limits: UpstreamRateLimiter;
	readonly #stalls: StallWatch;
	/** The effects that are being carried out; undefined if none are. */
	#effects: AdmissionEffect[] | undefined;
	/** Combines refreshes, as reports of many sidecars arrive together and each refresh visits all upstreams. */
	readonly #refreshes: Coalescer;

	constructor(parts: DispatcherParts) {
		this.#parts = parts;
		this.teamShares = new TeamShares({...parts, state: this.#state});
		this.#log = new DispatchLog(parts.logger);
		this.#stalls = new StallWatch(parts.clock, parts.timers, stalledMs => {
			this.#log.logStall(stalledMs);
		}, () => {
			this.#tick(parts.clock.now());
		});
		this.#book = new UpstreamTable({
			clock: parts.clock,
			getTable: parts.getTable,
			getGatewayCount: parts.getGatewayCount,
			getOwnCount: upstreamId => this.#state.lanes.get(upstreamId)?.inProgress ?? 0,
		});
		this.#demand = new DemandReporter({
			...parts,
			planner: new LoadPlanner({
				...parts,
				getViews: () => this.#book.views,
				isUsable: upstreamId => this.#isUsable(upstreamId),
				onPlacementChange: change => {
					this.#log.logLoadMoved(change);
				},
				onStoreLimitChange: change => {
					this.#log.logStoreLimit(change);
				},
			}),
			getRequests: () => this.#requests.values(),
			isWaiting: request => this.#isWaiting(request),
			giveUp: (...terms) => this.#giveUp(...terms),
		});
		this.#limits = new UpstreamRateLimiter({
			...parts,
			getWaiting: upstreamId => this.#isUsable(upstreamId) ? getAcceptableCount(this.#state, upstreamId) : 0,
			onNeed: parts.onLimitReportDue,
			onChange: () => {
				this.#take({kind: 'tick'});
			},
		});
		this.#attempts = this.#newAttempts();
		this.#crashes = new CrashGuard({
			...parts,
			stalls: this.#stalls,
			onQuarantined: () => {
				this.#refuseQuarantined();
			},
		});
		this.#refreshes = new Coalescer(parts.timers, REFRESH_COALESCE_MS, () => {
			this.refresh();
		});
		parts.timers.repeat(TICK_MS, now => {
			this.#tick(now);
		});
	}

	get inProgress(): number {
		return this.#requests.size;
	}

	/** Exchanges crash reports and quarantine decisions with the leader. */
	get crashExchange(): CrashExchange {
		return this.#crashes.exchange;
	}

	/** Reports the rate limits of upstreams to the leader and receives the requests that may be sent to them. */
	get limitExchange(): LimitExchange {
		return this.#limits;
	}

	/** Number of upstreams with a rate limit. */
	get limitedCount(): number {
		return this.#limits.count;
	}

	get quarantinedCount(): number {
		return this.#crashes.quarantinedCount;
	}

	arrive(request: GatewayRequest): void {
		const refusal = this.#crashes.getRefusal(request);
		if (refusal) {
			this.refuse(request, refusal.code, refusal.retryAfterMs);
			return;
		}

		if (!isContinuable(request, this.#book.views)) {
			this.refuse(request, RESULT_CODE.StreamNotContinuable, 0);
			return;
		}

		this.#requests.set(request.id, request);
		this.#trackContinuation(request);
		this.#take({kind: 'arrive', request: newAdmissionRequest(request), limits: UNLIMITED_REQUESTS});
		this.#demand.scheduleReport();
	}

	/** Refuses a request that has not been admitted. */
	refuse(request: GatewayRequest, code: ResultCodeValue, retryAfterMs: number): void {
		this.#refuse(request, code, OUTCOME.NotRun, retryAfterMs, RESULT_DETAILS[code].meaning);
	}

	/** Cancels a request whose caller has disconnected, here and at the upstream. */
	abandon(id: string): void {
		const request = this.#requests.get(id);
		if (!request) {
			return;
		}

		this.#requests.delete(id);
		this.#take({kind: 'abandon', requestId: id});
		this.#finish(request, RESULT_CODE.ClientClosed, request.dispatchedAt === undefined ? OUTCOME.NotRun : OUTCOME.Unknown, 'the caller left');
	}

	/**
	 * Begins the shutdown: from now on only requests are sent whose deadlines are before the end of the process.
	 * @param endsAt - When requests that are still in progress are aborted, in monotonic milliseconds.
	 */
	stop(endsAt: number): void {
		this.#take({kind: 'stop', endsAt});
	}

	/** Aborts all requests that are still in progress, with an error that states whether they may have run. */
	abortAll(code: ResultCodeValue): void {
		try {
			this.#take({kind: 'refuseAll', code});
		} finally {
			this.#attempts.cancelAll();
			visitAll(this.#requests.values(), request => {
				this.#parts.onAborted(request);
				this.#refuse(request, code, OUTCOME.Unknown, 0, 'the gateway stops');
			});
		}
	}

	takeDirectory(upstreams: readonly Upstream[]): void {
		this.#crashes.setUpstreams(upstreams);
		this.#limits.retain(new Set(upstreams.map(upstream => upstream.id)));
		this.#parts.residency.follow(this.#book.setUpstreams(upstreams));
		this.refresh();
	}

	takeReport(address: string, report: EngineReport | undefined): void {
		this.#book.setReport(address, report);
		this.#refreshes.schedule();
	}

	/** Recomputes the upstreams to which requests can be sent. */
	refresh(): void {
		const table = this.#parts.getTable();
		if (!table) {
			return;
		}

		this.#book.refresh(table);
		this.#takeEndpoints();
		this.#refuseUncontinuable();
		this.#demand.scheduleReport();
	}

	close(): void {
		this.#book.close();
	}

	#newAttempts(): ActiveAttempts {
		return new ActiveAttempts({
			...this.#parts,
			getAgent: (upstreamId, service) => this.#book.getAgent(upstreamId, service),
			isRetryAllowed: attempt => isRetryAllowed(this.#state, this.#getSettings(), {...attempt, outcome: OUTCOME.Unknown}, this.#parts.clock.now()),
			isResponsive: upstreamId => this.#book.isResponsive(upstreamId),
			onAnswer: upstreamId => {
				this.#book.noteResponse(upstreamId);
			},
			onLimit: (upstreamId, perSecond, startedAt) => {
				this.#limits.noteAnswer(upstreamId, perSecond, startedAt);
			},
			onFirstEvent: (request, upstream, forward) => {
				this.#noteBegun(request, upstream, forward);
			},
			onStarted: (request, attemptId) => {
				this.#take({kind: 'started', requestId: request.id, attemptId});
			},
			onRunning: request => {
				this.#crashes.noteRunning(request);
			},
			onEnded: (request, attemptId, passOn) => {
				this.#end(request, attemptId, passOn);
			},
			log: this.#log,
			getSilentMs: upstreamId => this.#book.getSilentMs(upstreamId),
			onFailed: (request, attemptId, upstream, end) => {
				this.#crashes.noteEnd(request, upstream, end, isLast => {
					this.#fail(attemptId, end, isLast);
				});
			},
		});
	}

	/** Refuses a request that waits for a model which will be loaded too late for it, with the given Retry-After time. */
	#giveUp(request: GatewayRequest, forecast: {readonly forecastMs: number; readonly retryAfterMs: number}, getSourceCount: () => number): boolean {
		const isServed = (this.#state.endpoints.get(getAdmissionTarget(request))?.length ?? 0) > 0;
		if (isServed) {
			return false;
		}

		this.#log.logGivenUp(request, {...forecast, waitedMs: this.#parts.clock.now() - request.arrivedAt, sourceCount: getSourceCount()});
		this.#take({
			kind: 'giveUp', requestId: request.id, code: RESULT_CODE.WaitTooLong, retryAfterMs: forecast.retryAfterMs,
		});
		return true;
	}

	/** Ends requests that arrived before they were quarantined. An upstream that has not begun its response may still be saved from the crash. */
	#refuseQuarantined(): void {
		for (const request of this.#requests.values()) {
			const remainingMs = this.#crashes.getQuarantineMs(request);
			if (remainingMs > 0 && !request.answer.isStarted) {
				this.#refuseInProgress(request, remainingMs);
			}
		}
	}

	#refuseInProgress(request: GatewayRequest, remainingMs: number): void {
		const code = RESULT_CODE.RequestQuarantined;
		if (this.#isWaiting(request)) {
			this.#take({
				kind: 'giveUp', requestId: request.id, code, retryAfterMs: remainingMs,
			});
			return;
		}

		this.#requests.delete(request.id);
		this.#take({kind: 'abandon', requestId: request.id});
		this.#refuse(request, code, OUTCOME.Unknown, 0, RESULT_DETAILS[code].meaning);
	}

	#isWaiting({id}: GatewayRequest): boolean {
		return this.#state.requests.get(id)?.state === 'waiting';
	}

	#isUsable(upstreamId: string): boolean {
		return this.#book.isResponsive(upstreamId) && this.#parts.clock.now() >= (this.#state.lanes.get(upstreamId)?.ejectedUntil ?? 0);
	}

	#tick(now: number): void {
		this.#take({kind: 'tick'});
		if (!this.#stalls.isStalled) {
			// While the process is stalled, responses and broken connections may not have been read yet.
			this.#attempts.giveUpOverdue(now, attemptId => this.#getElsewhere(attemptId));
		}

		for (const request of this.#requests.values()) {
			if (now >= request.deadlineAt && !this.#stalls.isInputUnread) {
				this.#expire(request);
			}
		}

		if (this.#state.queues.size > 0) {
			this.#demand.refresh(now);
		}
	}

	/** Aborts a streamed response at the deadline of its request. A request whose response has not begun is refused by the admission instead. */
	#expire(request: GatewayRequest): void {
		const record = this.#state.requests.get(request.id);
		if (!record) {
			return;
		}

		this.#attempts.cancel(record.attemptId);
		this.#requests.delete(request.id);
		this.#take({kind: 'abandon', requestId: request.id});
		this.#refuse(request, RESULT_CODE.DeadlineExceeded, OUTCOME.Unknown, 0, 'the deadline passed during the answer');
	}

	/** Returns the request of an attempt if another upstream, which is not ejected, could serve it, or undefined. */
	#getElsewhere(attemptId: string): GatewayRequest | undefined {
		const request = this.#getRequest(attemptId);
		return request && this.#state.endpoints.get(getAdmissionTarget(request))?.some(({vm}) => vm !== request.upstreamId && this.#isUsable(vm)) ? request : undefined;
	}

	#getRequest(attemptId: string): GatewayRequest | undefined {
		return this.#requests.get(attemptId.slice(0, attemptId.lastIndexOf('.')));
	}

	#take(event: AdmissionEvent): void {
		const effects = mutateAdmission(this.#state, this.#getSettings(), event, this.#parts.clock.now());
		// An attempt that cannot be started fails while effects are carried out; if those of the next attempt were carried out within, the stack could overflow.
		if (event.kind === 'failed' && this.#effects) {
			this.#effects.push(...effects);
			return;
		}

		const outer = this.#effects;
		this.#effects = effects;
		try {
			visitAll(effects, effect => {
				if ((effect.kind === 'dispatch' || effect.kind === 'refuse') && effect.wait) {
					this.#parts.onWaited?.(effect, this.#requests.get(effect.requestId)?.head.id);
				}

				this.#carryOut(effect);
			});
		} finally {
			this.#effects = outer;
		}

		this.#limits.noteWaiting();
	}

	#getSettings(): AdmissionSettings {
		const settings = {...this.#parts.getSettings(), isInputUnread: this.#stalls.isInputUnread};
		return this.#limits.count === 0 ? settings : {...settings, sendLimits: this.#limits.getSendLimits()};
	}

	#carryOut(effect: AdmissionEffect): void {
		switch (effect.kind) {
			case 'dispatch': {
				this.#dispatch(effect);
				break;
			}

			case 'refuse': {
				const request = this.#requests.get(effect.requestId);
				if (request) {
					this.#refuse(request, effect.code, effect.outcome, effect.retryAfterMs, RESULT_DETAILS[effect.code].meaning);
				}

				break;
			}

			case 'retry': {
				this.#noteRetry(effect);
				break;
			}

			case 'cancel': {
				this.#attempts.cancel(effect.attemptId);
				this.#demand.scheduleReport();
				break;
			}

			default: {
				break;
			}
		}
	}

	#noteRetry({requestId, isAllowed, left}: Extract<AdmissionEffect, {kind: 'retry'}>): void {
		const request = this.#requests.get(requestId);
		if (request) {
			this.#log.logRetry(request, {isAllowed, left, gatewayCount: this.#parts.getGatewayCount()});
			this.#parts.onRetry(request.service, isAllowed);
		}
	}

	#dispatch(dispatch: Dispatch): void {
		// The request is counted before it is sent, because the next decisions depend on the count.
		this.#limits.noteSent(dispatch.vm);
		if (this.#stalls.isStalled) {
			this.#stalls.onceRead(() => {
				this.#sendUnlessAbandoned(dispatch);
			});
			return;
		}

		this.#send(dispatch);
	}

	/** Sends a request after a stall of this process, unless its caller has disconnected: the end of a connection is read only after the request. */
	#sendUnlessAbandoned(dispatch: Dispatch): void {
		const {requestId, attemptId} = dispatch;
		const request = this.#requests.get(requestId);
		if (!request || this.#state.requests.get(requestId)?.attemptId !== attemptId) {
			return;
		}

		if (request.answer.isCallerDisconnected) {
			this.abandon(requestId);
		} else {
			this.#send(dispatch);
		}
	}

	#send({requestId, attemptId, vm, remainingMs}: Dispatch): void {
		const request = this.#requests.get(requestId);
		const view = this.#book.views.get(vm);
		if (!request || !view) {
			this.#fail(attemptId, newAttemptFailure(RESULT_CODE.UpstreamLeaving, OUTCOME.NotRun, 'the upstream has left'));
			return;
		}

		const refusal = this.#crashes.getRefusal(request);
		if (refusal) {
			this.#refuseWaiting(request, refusal.code, refusal.retryAfterMs);
			return;
		}

		request.dispatchedAt ??= this.#parts.clock.now();
		const previousVersion = request.origin?.softwareVersion;
		request.upstreamId = vm;
		request.softwareVersion = view.upstream.softwareVersion;
		request.attempts += 1;
		if (isResumption(request)) {
			this.#log.logResumed(request, previousVersion);
		}

		this.#attempts.send(request, {attemptId, upstream: view.upstream, remainingMs});
		this.#demand.scheduleReport();
	}

	/** Refuses a request that waited for its first upstream or for a retry and must not be sent now. */
	#refuseWaiting(request: GatewayRequest, code: ResultCodeValue, retryAfterMs: number): void {
		this.#requests.delete(request.id);
		this.#take({kind: 'abandon', requestId: request.id});
		this.#refuse(request, code, request.attempts === 0 ? OUTCOME.NotRun : OUTCOME.Unknown, retryAfterMs, RESULT_DETAILS[code].meaning);
	}

	#end(request: GatewayRequest, attemptId: string, passOn: () => void): void {
		if (!this.#requests.delete(request.id)) {
			return;
		}

		passOn();
		this.#crashes.noteServed(request);
		if (request.origin) {
			this.#parts.origins.forget(getRequestOriginKey(request));
		}

		this.#take({kind: 'finished', requestId: request.id, attemptId});
		this.#finish(request, RESULT_CODE.Ok, OUTCOME.Ran, '');
	}

	/** @param isLast - True if the request must not be sent to another upstream, as it may have crashed this one. */
	#fail(attemptId: string, end: AttemptFailure, isLast = false): void {
		const request = this.#getRequest(attemptId);
		this.#demand.scheduleReport();
		if (!request) {
			return;
		}

		const {code, outcome} = end;
		const isEnded = isLast || !isContinuable(request, this.#book.views);
		this.#log.logFailed(request, end, isEnded);
		this.#trackContinuation(request);
		this.#take({
			kind: 'failed', requestId: request.id, attemptId, code, outcome, jitter: this.#parts.random(), isLast: isEnded, target: getAdmissionTarget(request),
		});
	}

	/** Makes known which upstreams may serve a request that continues a stream. */
	#trackContinuation(request: GatewayRequest): void {
		if (this.#continuations.add(request)) {
			this.#takeEndpoints();
		}
	}

	#takeEndpoints(): void {
		this.#take({kind: 'endpoints', endpoints: this.#continuations.addEndpoints(this.#book.endpoints, this.#book.views)});
	}

	/** Refuses waiting requests that continue streams once the last upstream that could do so has left. */
	#refuseUncontinuable(): void {
		for (const request of this.#requests.values()) {
			if (request.origin && this.#isWaiting(request) && !isContinuable(request, this.#book.views)) {
				this.#take({
					kind: 'giveUp', requestId: request.id, code: RESULT_CODE.StreamNotContinuable, retryAfterMs: 0,
				});
			}
		}
	}

	/**
	 * Records where a stream begins, before its caller gets the first event. A stream that is continued keeps the origin that it has. A caller that gave
	 * its attempt no id cannot resume the stream.
	 */
	#noteBegun(request: GatewayRequest, {id, service, softwareVersion}: Upstream, forward: () => void): void {
		const isKnown = request.origin !== undefined;
		request.origin ??= {service, softwareVersion, runId: id};
		if (isKnown || request.head.id === '') {
			forward();
			return;
		}

		this.#parts.origins.record(newOriginRecord(request, request.origin, this.#parts.clock.now()), forward);
	}

	#refuse(request: GatewayRequest, code: ResultCodeValue, outcome: OutcomeValue, retryAfterMs: number, reason: string): void {
		this.#requests.delete(request.id);
		const honestCode = getCallerResultCode(code, outcome);
		request.answer.refuse({
			code: honestCode, outcome, retryAfterMs: outcome === OUTCOME.NotRun ? retryAfterMs : 0, message: RESULT_DETAILS[honestCode].meaning,
		});
		this.#finish(request, honestCode, outcome, reason);
	}

	#finish(request: GatewayRequest, code: ResultCodeValue, outcome: OutcomeValue, reason: string): void {
		this.#continuations.remove(request);
		this.#parts.onEnd(request, code, outcome, reason);
		this.#demand.scheduleReport();
	}
}
