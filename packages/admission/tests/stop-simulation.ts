import {
	assertNever, OUTCOME, RESULT_CODE, type OutcomeValue, type ResultCodeValue,
} from '@valelead/common';
import {newPlainArrival} from '../../../tests/support/new-plain-arrival.js';
import {
	type AdmissionEffect, type AdmissionEvent, type AdmissionSettings, type AdmissionState, mutateAdmission, newAdmissionState,
} from '@valelead/admission';

/** A simulated request. Times in milliseconds. */
type SimulatedRequest = {
	readonly at: number;
	readonly isRepeatable: boolean;
	readonly deadlineMs: number;
	readonly runMs: number;
	/** True if the first run of the request fails halfway. */
	readonly isBreaking: boolean;
	/** The model that the request needs. */
	readonly target: string;
};

type Scenario = {
	readonly requests: readonly SimulatedRequest[];
	readonly stopAt: number;
	readonly graceMs: number;
	readonly concurrencyLimit: number;
	/** The time at which each model is loaded. */
	readonly loadedAt: Readonly<Record<string, number>>;
};

/** The end of a request: it ended at its upstream, was refused, or was aborted when the entry ended. */
type RequestEnd = {
	readonly kind: 'ended' | 'refused' | 'cut';
	readonly at: number;
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
};

type Dispatch = Extract<AdmissionEffect, {kind: 'dispatch'}>;

type Run = Dispatch & {
	readonly endsAt: number;
	readonly isBroken: boolean;
};

const STEP_MS = 50;

const SETTINGS: AdmissionSettings = {
	maxAttempts: 4,
	retryTokensPerRequest: 0,
	maxRetryTokens: 100,
	initialRetryTokens: 100,
	failuresBeforeEjection: 100,
	baseEjectionMs: 1000,
	maxEjectionMs: 8000,
	refusedTargetAvoidMs: 0,
	creditMarginMs: 0,
	dataCentre: 'dc',
};

/** Simulates an entry in virtual time with the real admission code, up to the time after a stop signal at which requests in progress are aborted. */
export class StopSimulation {
	/** The ends of requests by the index of the request. */
	readonly ends = new Map<number, RequestEnd[]>();
	/** The times at which requests were sent, by the index of the request. */
	readonly sentAt = new Map<number, number[]>();
	/** The deadlines of requests by the index of the request. */
	readonly deadlines = new Map<number, number>();
	readonly #scenario: Scenario;
	readonly #state: AdmissionState = newAdmissionState();
	readonly #runs = new Map<string, Run>();

	constructor(scenario: Scenario) {
		this.#scenario = scenario;
	}

	get endsAt(): number {
		return this.#scenario.stopAt + this.#scenario.graceMs;
	}

	/** The time of the last step, after which no request arrives. */
	get lastStepAt(): number {
		return Math.ceil((this.endsAt / STEP_MS) - 1) * STEP_MS;
	}

	run(): void {
		for (let now = 0; now < this.endsAt; now += STEP_MS) {
			this.#step(now);
		}

		this.#take({kind: 'refuseAll', code: RESULT_CODE.Draining}, this.endsAt);
		for (const id of this.#state.requests.keys()) {
			this.#end(id, {
				kind: 'cut', at: this.endsAt, code: RESULT_CODE.Draining, outcome: OUTCOME.Unknown,
			});
		}
	}

	#step(now: number): void {
		if (this.#isDue(this.#scenario.stopAt, now)) {
			this.#take({kind: 'stop', endsAt: this.endsAt}, now);
		}

		this.#take({kind: 'endpoints', endpoints: this.#getEndpoints(now)}, now);
		for (const run of [...this.#runs.values()].filter(({endsAt}) => endsAt <= now)) {
			this.#finish(run, now);
		}

		for (const [index, request] of this.#scenario.requests.entries()) {
			if (this.#isDue(request.at, now)) {
				this.#arrive(index, request, now);
			}
		}

		this.#take({kind: 'tick'}, now);
	}

	#isDue(at: number, now: number): boolean {
		return at <= now && at > now - STEP_MS;
	}

	#getEndpoints(now: number): Map<string, Array<{vm: string; dataCentre: string; concurrencyLimit: number}>> {
		const loaded = Object.entries(this.#scenario.loadedAt).filter(([, at]) => at <= now);
		return new Map(loaded.map(([target]) => [target, [{vm: 'u', dataCentre: 'dc', concurrencyLimit: this.#scenario.concurrencyLimit}]]));
	}

	#arrive(index: number, request: SimulatedRequest, now: number): void {
		this.deadlines.set(index, now + request.deadlineMs);
		this.#take(newPlainArrival({
			requestId: String(index),
			target: request.target,
			arrivedAt: now,
			deadlineAt: now + request.deadlineMs,
			isRepeatable: request.isRepeatable,
		}), now);
	}

	#finish(run: Run, now: number): void {
		const {requestId, attemptId, isBroken} = run;
		this.#runs.delete(attemptId);
		if (isBroken) {
			this.#take({
				kind: 'failed', requestId, attemptId, code: RESULT_CODE.AnswerCut, outcome: OUTCOME.Unknown, jitter: 0.5,
			}, now);
			return;
		}

		this.#take({kind: 'finished', requestId, attemptId}, now);
		this.#end(requestId, {
			kind: 'ended', at: now, code: RESULT_CODE.Ok, outcome: OUTCOME.Ran,
		});
	}

	#take(event: AdmissionEvent, now: number): void {
		for (const effect of mutateAdmission(this.#state, SETTINGS, event, now)) {
			this.#carryOut(effect, now);
		}
	}

	#carryOut(effect: AdmissionEffect, now: number): void {
		switch (effect.kind) {
			case 'dispatch': {
				this.#dispatch(effect, now);
				break;
			}

			case 'cancel': {
				this.#runs.delete(effect.attemptId);
				break;
			}

			case 'refuse': {
				this.#end(effect.requestId, {
					kind: 'refused', at: now, code: effect.code, outcome: effect.outcome,
				});
				break;
			}

			case 'retry':
			case 'want': {
				break;
			}

			default: {
				assertNever(effect);
			}
		}
	}

	#dispatch(dispatch: Dispatch, now: number): void {
		const index = Number(dispatch.requestId);
		const {runMs, isBreaking} = this.#scenario.requests[index];
		const sent = this.sentAt.get(index) ?? [];
		const isBroken = isBreaking && sent.length === 0;
		this.sentAt.set(index, [...sent, now]);
		this.#runs.set(dispatch.attemptId, {
			...dispatch, endsAt: now + (isBroken ? runMs / 2 : runMs), isBroken,
		});
	}

	#end(id: string, end: RequestEnd): void {
		const index = Number(id);
		this.ends.set(index, [...this.ends.get(index) ?? [], end]);
	}
}
