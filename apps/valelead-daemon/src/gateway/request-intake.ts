import {
	type Clock, type OutcomeValue, type ResultCodeValue, type SuspensionWatch, type TimerService, OUTCOME, RESULT_CODE,
} from '@valelead/common';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {QuotaExchange} from '../follower/quota-exchange.js';
import type {Metrics} from '../metrics/metrics.js';
import {CompletionRecorder} from './completion-recorder.js';
import {QuotaGate} from './quota-gate.js';
import type {GatewayRequest} from './gateway-request.js';
import type {GracePeriod} from './grace-period.js';
import type {RequestDispatcher} from './request-dispatcher.js';

type IntakeParts = {
	readonly clock: Clock;
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly timers: TimerService;
	readonly logger: Logger;
	readonly metrics: Metrics;
	readonly getDispatcher: () => Pick<RequestDispatcher, 'arrive' | 'refuse' | 'abandon'>;
	readonly getTable: () => RouteTable | undefined;
	/** Time since the leader was heard, in milliseconds. */
	readonly getRoutingAgeMs: () => number;
	/** Undefined until the gateway is told to stop. */
	readonly getGrace: () => GracePeriod | undefined;
	/** Hears that the leader must be asked at once. */
	readonly onNeed: () => void;
};

/** The way of requests into a gateway and out of it: past their teams' quotas to the dispatcher, and into the records when they end. */
export class RequestIntake {
	readonly #parts: IntakeParts;
	readonly #gate: QuotaGate;
	readonly #ends: CompletionRecorder;

	constructor(parts: IntakeParts) {
		this.#parts = parts;
		this.#ends = new CompletionRecorder(parts);
		this.#gate = new QuotaGate({
			...parts,
			random: Math.random,
			onAdmitted(request) {
				parts.getDispatcher().arrive(request);
			},
			onRefused(request, code, retryAfterMs) {
				parts.getDispatcher().refuse(request, code, retryAfterMs);
			},
		});
	}

	/** What the leader is told of quotas, and lends. */
	get quotas(): QuotaExchange {
		return this.#gate;
	}

	arrive(request: GatewayRequest): void {
		this.#gate.arrive(request);
	}

	/** The caller is gone. One that leaves while its request waits for a loan is unknown to the dispatcher. */
	abandon(request: GatewayRequest): void {
		if (this.#gate.forget(request)) {
			this.end(request, RESULT_CODE.ClientClosed, OUTCOME.NotRun, 'the caller left');
			return;
		}

		this.#parts.getDispatcher().abandon(request.id);
	}

	/** Takes how a request ended. */
	end(request: GatewayRequest, code: ResultCodeValue, outcome: OutcomeValue, reason: string): void {
		this.#gate.end(request, outcome);
		this.#ends.record(request, code, outcome, reason);
	}

	/** Takes that a request is broken off as the gateway stops. */
	noteCut(request: GatewayRequest): void {
		this.#ends.recordAborted(request);
	}

	/** Refuses what has not reached the dispatcher. */
	refuseAll(code: ResultCodeValue): void {
		this.#gate.refuseAll(code);
	}
}
