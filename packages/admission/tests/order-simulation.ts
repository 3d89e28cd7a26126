import {OUTCOME, type OutcomeValue, type ResultCodeValue} from '@valelead/common';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {
	type AdmissionEffect, type AdmissionEvent, type AdmissionRequest, type AdmissionSettings, type AdmissionState, type RequestWait, mutateAdmission, newAdmissionState,
} from '@valelead/admission';

/** Requests that arrive at random times. Times in milliseconds. */
export type RequestKind = {
	readonly kind: string;
	readonly team: string;
	readonly model: string;
	readonly rank: number;
	readonly objectiveMs: number;
	readonly patienceMs: number;
	readonly perSecond: number;
};

type SimulationOptions = {
	readonly slots: number;
	/** The time from dispatch until a response begins, and the mean time until it ends, which is half to one and a half times as long. */
	readonly startMs: number;
	readonly endMs: number;
	readonly isOrderedByLatestStart: boolean;
	readonly areClassesBalanced?: boolean;
	/** Seed of the arrivals and of the lengths of responses; the same for all simulations if absent. */
	readonly seed?: number;
};

type Refusal = {
	readonly requestId: string;
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	/** The time until the caller would have left. */
	readonly leftMs: number;
};

type Caller = {
	readonly request: AdmissionRequest;
	isStarted: boolean;
	isRefused: boolean;
	isInTime: boolean;
};

const SEED = 72;
const STEP_MS = 10;
const TICK_MS = 50;
const MS_PER_SECOND = 1000;
const MODELS = ['a', 'b'];
const LIMITS = {teamInProgress: 1000, teamWaiting: 10_000, classWaiting: 10_000};

const SETTINGS: AdmissionSettings = {
	maxAttempts: 3, retryTokensPerRequest: 1, maxRetryTokens: 10, failuresBeforeEjection: 3, baseEjectionMs: 1000, maxEjectionMs: 8000, refusedTargetAvoidMs: 0, creditMarginMs: 0, dataCentre: 'dc',
};

/** One gateway and one engine with all models loaded, in virtual time. */
export class OrderSimulation {
	/** The ids of the dispatched requests, in order. */
	readonly dispatched: string[] = [];
	readonly refusals: Refusal[] = [];
	/** How the requests have waited that were dispatched or refused, in order. */
	readonly waits: RequestWait[] = [];
	readonly #options: SimulationOptions;
	readonly #settings: AdmissionSettings;
	readonly #state: AdmissionState = newAdmissionState();
	readonly #random: RandomGenerator;
	readonly #callers = new Map<string, Caller>();
	#events: Array<{readonly at: number; readonly event: AdmissionEvent}> = [];
	#now = 0;

	constructor(options: SimulationOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed ?? SEED);
		this.#settings = {...SETTINGS, isOrderedByLatestStart: options.isOrderedByLatestStart, areClassesBalanced: options.areClassesBalanced};
		this.#take({kind: 'endpoints', endpoints: new Map(MODELS.map(model => [model, [{vm: 'vm', dataCentre: 'dc', concurrencyLimit: options.slots}]]))});
	}

	get state(): AdmissionState {
		return this.#state;
	}

	/** The ids of the requests whose callers have left without an answer or a refusal. */
	get leftUnanswered(): string[] {
		return [...this.#callers.values()]
			.filter(({request, isStarted, isRefused}) => !isStarted && !isRefused && request.leavesAt! < this.#now)
			.map(({request}) => request.requestId);
	}

	/** Advances the time; requests of the given kinds arrive meanwhile. */
	run(forMs: number, kinds: readonly RequestKind[] = []): void {
		const endsAt = this.#now + forMs;
		while (this.#now < endsAt) {
			this.#now += STEP_MS;
			this.#takeDue();
			for (const kind of kinds) {
				if (uniformFloat64(this.#random) < kind.perSecond * STEP_MS / MS_PER_SECOND) {
					this.arrive(kind);
				}
			}

			if (this.#now % TICK_MS === 0) {
				this.#take({kind: 'tick'});
			}
		}
	}

	arrive({kind, team, model, rank, objectiveMs, patienceMs}: RequestKind, changes: Partial<AdmissionRequest> = {}): string {
		const requestId = `${kind}-${this.#callers.size + 1}`;
		const request: AdmissionRequest = {
			requestId,
			team,
			teamWeight: 1,
			rank,
			className: kind,
			classWeight: 1 / (1 + rank),
			target: model,
			arrivedAt: this.#now,
			deadlineAt: this.#now + Math.max(patienceMs, this.#options.endMs * 2),
			dueAt: this.#now + objectiveMs,
			leavesAt: this.#now + patienceMs,
			isRepeatable: true,
			...changes,
		};
		this.#callers.set(requestId, {
			request, isStarted: false, isRefused: false, isInTime: false,
		});
		this.#take({kind: 'arrive', limits: LIMITS, request});
		return requestId;
	}

	/** Lets the attempt of a request fail after it began to run. */
	fail(requestId: string, code: ResultCodeValue): void {
		const {attemptId} = this.#state.requests.get(requestId)!;
		this.#events = this.#events.filter(({event}) => !('attemptId' in event) || event.attemptId !== attemptId);
		this.#take({
			kind: 'failed', requestId, attemptId, code, outcome: OUTCOME.Unknown, jitter: 0,
		});
	}

	getShareInTime(kind: string): number {
		const callers = [...this.#callers.values()].filter(({request}) => request.className === kind);
		return callers.filter(caller => caller.isInTime).length / callers.length;
	}

	#takeDue(): void {
		const due = this.#events.filter(({at}) => at <= this.#now);
		this.#events = this.#events.filter(({at}) => at > this.#now);
		for (const {event} of due) {
			if (event.kind === 'started') {
				this.#noteStarted(event.requestId);
			}

			this.#take(event);
		}
	}

	#noteStarted(requestId: string): void {
		const caller = this.#callers.get(requestId)!;
		caller.isStarted = true;
		caller.isInTime = this.#now <= caller.request.dueAt!;
	}

	#take(event: AdmissionEvent): void {
		for (const effect of mutateAdmission(this.#state, this.#settings, event, this.#now)) {
			this.#carryOut(effect);
		}
	}

	#carryOut(effect: AdmissionEffect): void {
		if ('wait' in effect && effect.wait) {
			this.waits.push(effect.wait);
		}

		if (effect.kind === 'dispatch') {
			const {requestId, attemptId} = effect;
			this.dispatched.push(requestId);
			this.#events.push(
				{at: this.#now + this.#options.startMs, event: {kind: 'started', requestId, attemptId}},
				{at: this.#now + Math.max(this.#options.startMs, this.#options.endMs * (0.5 + uniformFloat64(this.#random))), event: {kind: 'finished', requestId, attemptId}},
			);
		} else if (effect.kind === 'refuse') {
			const caller = this.#callers.get(effect.requestId)!;
			caller.isRefused = true;
			this.refusals.push({
				requestId: effect.requestId, code: effect.code, outcome: effect.outcome, leftMs: caller.request.leavesAt! - this.#now,
			});
		}
	}
}
