import {isBeyondMemory} from '@valelead/admission';
import {
	type Clock, type OutcomeValue, type ResultCodeValue, type SuspensionWatch, type TimerService, OUTCOME, RESULT_CODE,
} from '@valelead/common';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {FollowerContact} from '../follower/follower-contact.js';
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
	/** Returns how recent the routing is, for the log. */
	readonly getContact: () => FollowerContact;
	/** Returns the grace period of the shutdown, or undefined before the stop signal. */
	readonly getGrace: () => GracePeriod | undefined;
	/** True if requests are refused that no engine of their service has enough memory for. */
	readonly isMemoryChecked: boolean;
	/** True if the gateway keeps large stocks of the teams' quotas. */
	readonly isReserveUsed: boolean;
	/** Called when quota must be requested from the leader immediately. */
	readonly onNeed: () => void;
};

/** Passes requests through the quota check to the dispatcher, and records their ends in the quota accounting, the metrics and the log. */
export class RequestReceiver {
	readonly #parts: IntakeParts;
	readonly #gate: QuotaGate;
	readonly #completions: CompletionRecorder;

	constructor(parts: IntakeParts) {
		this.#parts = parts;
		this.#completions = new CompletionRecorder(parts);
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

	/** Exchanges quota usage and loans with the leader. */
	get quotas(): QuotaExchange {
		return this.#gate;
	}

	arrive(request: GatewayRequest): void {
		if (this.#isBeyondMemory(request)) {
			this.#parts.getDispatcher().refuse(request, RESULT_CODE.ExceedsEngineMemory, 0);
			return;
		}

		this.#gate.arrive(request);
	}

	/** Ends a request whose caller has disconnected. The dispatcher does not know requests that still wait for quota. */
	abandon(request: GatewayRequest): void {
		if (this.#gate.forget(request)) {
			this.end(request, RESULT_CODE.ClientClosed, OUTCOME.NotRun, 'the caller left');
			return;
		}

		this.#parts.getDispatcher().abandon(request.id);
	}

	/** Records the end of a request. */
	end(request: GatewayRequest, code: ResultCodeValue, outcome: OutcomeValue, reason: string): void {
		this.#gate.end(request, outcome);
		this.#completions.record(request, code, outcome, reason);
	}

	/** Records a request that is aborted because the gateway stops. */
	recordAborted(request: GatewayRequest): void {
		this.#completions.recordAborted(request);
	}

	/** Refuses all requests that still wait for quota and so have not reached the dispatcher. */
	refuseAll(code: ResultCodeValue): void {
		this.#gate.refuseAll(code);
	}

	/** True if no engine of the service has enough memory for a request. An engine would reject it as if it were full, and it would be sent again. */
	#isBeyondMemory({service, head}: GatewayRequest): boolean {
		const engine = this.#parts.getTable()?.services.get(service)?.engine;
		return this.#parts.isMemoryChecked && head.prompt !== undefined && engine !== undefined && isBeyondMemory(head.prompt, engine.cacheTokens);
	}
}
