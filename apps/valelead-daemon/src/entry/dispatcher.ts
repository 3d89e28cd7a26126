import {
	assertNever, type Clock, OUTCOME, type OutcomeValue, RESULT_CODE, RESULT_DETAILS, type ResultCodeValue, type TimerService,
} from '@valelead/common';
import {
	type AdmissionEffect, type AdmissionEvent, type AdmissionSettings, type AdmissionState, type TargetDemand, mutateAdmission, mutateTargetDemands, newAdmissionState,
} from '@valelead/admission';
import type {ChannelPool, Endpoint} from '@valelead/protocol';
import type {Intent} from '@valelead/intent';
import type {Metrics} from '../metrics/metrics.js';
import {Attempt} from './attempt.js';
import {ExchangeRecorder} from './exchange-recorder.js';
import {Lanes} from './lanes.js';
import {newDispatchRequest} from './new-dispatch-request.js';
import {newEndpointIndex} from './new-endpoint-index.js';
import type {Exchange} from './exchange.js';

type DispatcherParts = {
	readonly entry: string;
	readonly settings: AdmissionSettings;
	readonly maxAnswerBytes: number;
	readonly pool: ChannelPool;
	readonly timers: TimerService;
	readonly clock: Clock;
	readonly metrics: Metrics;
	readonly getIntent: () => Intent;
	/** Called when a request has arrived for a target without a ready replica. */
	readonly onColdDemand: () => void;
	readonly onEnd: (exchange: Exchange, code: ResultCodeValue) => void;
};

type Dispatch = Extract<AdmissionEffect, {kind: 'dispatch'}>;

const TICK_INTERVAL_MS = 25;
const HTTP_SERVER_ERROR = 500;

/** Runs the admission control of an entry. Passes events to it and applies the resulting dispatches, refusals and cancellations. */
export class Dispatcher {
	readonly #parts: DispatcherParts;
	readonly #state: AdmissionState = newAdmissionState();
	readonly #exchanges = new Map<string, Exchange>();
	readonly #attempts = new Map<string, Attempt>();
	readonly #lanes: Lanes;
	readonly #recorder: ExchangeRecorder;
	readonly #endpoints = new Map<string, Endpoint>();
	#entryCount = 1;

	constructor(parts: DispatcherParts) {
		this.#parts = parts;
		this.#recorder = new ExchangeRecorder(parts.metrics, parts.clock);
		this.#lanes = new Lanes(parts.entry, parts.pool, {
			onCredits: (vm, creditIds, validForMs) => {
				this.#handleEvent({
					kind: 'credits', vm, creditIds, validForMs,
				});
			},
			onFrame: frame => {
				this.#attempts.get(frame.attemptId)?.handleFrame(frame);
			},
			onClosed: vm => {
				this.#closeLane(vm);
			},
		}, parts.timers);
		parts.timers.repeat(TICK_INTERVAL_MS, () => {
			this.#handleEvent({kind: 'tick'});
		});
	}

	/** Number of requests that have not ended, including those that are waiting. */
	get inProgress(): number {
		return this.#exchanges.size;
	}

	/** Number of requests that are waiting in queues. */
	get waiting(): number {
		return [...this.#state.queues.values()].reduce((sum, queue) => sum + queue.length, 0);
	}

	/** Returns true if some VM can currently serve the target. */
	hasEndpoint(target: string): boolean {
		return (this.#state.endpoints.get(target)?.length ?? 0) > 0;
	}

	/** Returns the demand since the last call and resets it. The demand is reported to the leader. */
	collectDemands(): TargetDemand[] {
		return mutateTargetDemands(this.#state, this.#parts.clock.now());
	}

	/** Submits a request that has arrived to admission control. */
	submit(exchange: Exchange): void {
		const {request, requestId, arrivedAt} = exchange;
		const intent = this.#parts.getIntent();
		const requestClass = intent.classes.get(request.className)!;
		const team = intent.teams.get(request.team)!;
		this.#exchanges.set(requestId, exchange);
		this.#handleEvent({
			kind: 'arrive',
			request: {
				requestId,
				team: request.team,
				teamWeight: request.teamWeight,
				className: request.className,
				classWeight: requestClass.weight,
				target: request.target,
				arrivedAt,
				deadlineAt: arrivedAt + requestClass.deadlineMs,
				isRepeatable: request.isRepeatable,
			},
			limits: {
				teamInProgress: this.#getLimitPerEntry(team.maxInProgress),
				teamWaiting: this.#getLimitPerEntry(team.maxWaiting),
				classWaiting: this.#getLimitPerEntry(requestClass.maxWaiting),
			},
		});
		if (exchange.wasCold) {
			this.#parts.onColdDemand();
		}
	}

	/**
	 * Cancels the request of a caller that has disconnected. A request that may not run twice is completed nevertheless, so that a repeated request
	 * gets its response.
	 */
	abandon(requestId: string): void {
		const exchange = this.#exchanges.get(requestId);
		if (!exchange?.request.isRepeatable) {
			return;
		}

		this.#exchanges.delete(requestId);
		this.#handleEvent({kind: 'abandon', requestId});
		this.#finish(exchange, RESULT_CODE.ClientClosed);
	}

	/** Refuses all requests that are waiting in queues. */
	refuseWaiting(code: ResultCodeValue): void {
		this.#handleEvent({kind: 'refuseAll', code});
	}

	/**
	 * Stops gracefully. Only requests whose deadline is before the end of this process are dispatched from now on.
	 * @param endsAt - When the requests in progress are aborted, in monotonic milliseconds.
	 */
	stop(endsAt: number): void {
		this.#handleEvent({kind: 'stop', endsAt});
	}

	/** Aborts all requests. Dispatched requests are refused with an unknown outcome. */
	abortAll(code: ResultCodeValue): void {
		this.refuseWaiting(code);
		for (const exchange of this.#exchanges.values()) {
			this.#refuse(exchange, code, OUTCOME.Unknown, 0);
		}

		for (const attempt of this.#attempts.values()) {
			attempt.cancel();
		}
	}

	/** Applies changed endpoints of agents and the number of entries, among which the limits of teams and classes are divided. */
	updateEndpoints(changed: readonly Endpoint[], entryCount: number): void {
		this.#entryCount = Math.max(1, entryCount);
		if (changed.length === 0) {
			return;
		}

		for (const endpoint of changed) {
			this.#endpoints.set(endpoint.vm, endpoint);
			if (!endpoint.isClosed) {
				this.#lanes.setAddress(endpoint.vm, endpoint.address);
			}
		}

		this.#handleEvent({kind: 'endpoints', endpoints: newEndpointIndex(this.#endpoints.values())});
	}

	#getLimitPerEntry(limit: number): number {
		return Math.max(1, Math.floor(limit / this.#entryCount));
	}

	#handleEvent(event: AdmissionEvent): void {
		for (const effect of mutateAdmission(this.#state, this.#parts.settings, event, this.#parts.clock.now())) {
			this.#applyEffect(effect);
		}
	}

	#applyEffect(effect: AdmissionEffect): void {
		switch (effect.kind) {
			case 'dispatch': {
				this.#dispatch(effect);
				break;
			}

			case 'refuse': {
				const exchange = this.#exchanges.get(effect.requestId);
				if (exchange) {
					this.#refuse(exchange, effect.code, effect.outcome, effect.retryAfterMs);
				}

				break;
			}

			case 'cancel': {
				this.#attempts.get(effect.attemptId)?.cancel();
				this.#attempts.delete(effect.attemptId);
				break;
			}

			case 'want': {
				this.#lanes.setWaitingCount(effect.vm, effect.wanted, this.#parts.clock.now());
				break;
			}

			case 'retry': {
				this.#parts.metrics.retries.inc({service: '', result: effect.isAllowed ? 'sent' : 'refused'});
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#dispatch(dispatch: Dispatch): void {
		const exchange = this.#exchanges.get(dispatch.requestId);
		if (!exchange) {
			return;
		}

		this.#recorder.noteDispatch(exchange);
		const attempt = this.#newAttempt(exchange, dispatch);
		this.#attempts.set(dispatch.attemptId, attempt);
		const {weight} = this.#parts.getIntent().classes.get(exchange.request.className)!;
		if (!this.#lanes.dispatch(dispatch.vm, newDispatchRequest(exchange, dispatch, weight))) {
			this.#handleFailure(exchange, dispatch.attemptId, RESULT_CODE.AgentLost, OUTCOME.NotRun);
		}
	}

	#newAttempt(exchange: Exchange, {attemptId, vm, creditId}: Dispatch): Attempt {
		return new Attempt({
			attemptId,
			vm,
			sink: exchange.sink,
			maxBufferedBytes: this.#parts.maxAnswerBytes,
			events: {
				onStart: status => this.#handleStart(exchange, attemptId, status),
				onData: () => {
					this.#recorder.noteData(exchange);
				},
				onEnd: () => {
					this.#handleEnd(exchange, attemptId);
				},
				onFailure: (code, outcome) => {
					this.#handleFailure(exchange, attemptId, code, outcome);
				},
				onCancel: () => {
					this.#lanes.cancel(vm, attemptId);
				},
				askOutcome: async () => this.#lanes.askOutcome(vm, attemptId, creditId),
			},
		});
	}

	#closeLane(vm: string): void {
		this.#handleEvent({kind: 'laneClosed', vm});
		for (const attempt of this.#attempts.values()) {
			if (attempt.vm === vm) {
				void attempt.handleLaneClosed();
			}
		}
	}

	#dropAttempt(attemptId: string): void {
		const attempt = this.#attempts.get(attemptId);
		this.#attempts.delete(attemptId);
		if (attempt) {
			this.#lanes.end(attempt.vm, attemptId);
		}
	}

	/**
	 * Returns false for a server error of a repeatable request, so that the request is retried at another upstream instead of passing on the error.
	 */
	#handleStart(exchange: Exchange, attemptId: string, status: number): boolean {
		if (status >= HTTP_SERVER_ERROR && exchange.request.isRepeatable) {
			return false;
		}

		if (exchange.sink.isStream) {
			this.#handleEvent({kind: 'started', requestId: exchange.requestId, attemptId});
		}

		return true;
	}

	#handleEnd(exchange: Exchange, attemptId: string): void {
		this.#dropAttempt(attemptId);
		if (!this.#exchanges.delete(exchange.requestId)) {
			return;
		}

		exchange.sink.end();
		this.#handleEvent({kind: 'finished', requestId: exchange.requestId, attemptId});
		this.#finish(exchange, RESULT_CODE.Ok);
	}

	#handleFailure(exchange: Exchange, attemptId: string, code: ResultCodeValue, outcome: OutcomeValue): void {
		this.#dropAttempt(attemptId);
		this.#handleEvent({
			kind: 'failed', requestId: exchange.requestId, attemptId, code, outcome, jitter: Math.random(),
		});
	}

	#refuse(exchange: Exchange, code: ResultCodeValue, outcome: OutcomeValue, retryAfterMs: number): void {
		this.#exchanges.delete(exchange.requestId);
		exchange.sink.refuse({
			code, outcome, retryAfterMs, message: RESULT_DETAILS[code].meaning,
		});
		this.#finish(exchange, code);
	}

	#finish(exchange: Exchange, code: ResultCodeValue): void {
		this.#recorder.noteEnd(exchange, code);
		this.#parts.onEnd(exchange, code);
	}
}
