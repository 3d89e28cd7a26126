import {
	type AdmissionEffect, type AdmissionEvent, type AdmissionSettings, type AdmissionState, mutateAdmission, newAdmissionState,
} from '@valelead/admission';
import {
	OUTCOME, type OutcomeValue, RESULT_CODE, type ResultCodeValue,
} from '@valelead/common';
import type {StoredResponse, ClaimCommand, ClaimResult} from '@valelead/intent';
import {VirtualProcess} from '../support/virtual-process.js';
import type {VirtualNetwork} from '../support/virtual-network.js';
import type {VirtualTime} from '../support/virtual-time.js';
import type {FakeRequest} from './fake-request.js';
import type {FakeDispatchAgent} from './fake-dispatch-agent.js';
import type {RequestMutation} from './request-mutation.js';

type EntryParts = {
	readonly name: string;
	readonly time: VirtualTime;
	readonly network: VirtualNetwork;
	readonly agents: readonly FakeDispatchAgent[];
	readonly mutation: RequestMutation;
	readonly random: () => number;
	readonly log: (command: ClaimCommand) => ClaimResult;
	readonly onAnswer: (requestId: string, code: ResultCodeValue, outcome: OutcomeValue, content: string) => void;
};

type Dispatch = Extract<AdmissionEffect, {kind: 'dispatch'}>;

const SETTINGS: AdmissionSettings = {
	maxAttempts: 5,
	retryTokensPerRequest: 0.5,
	maxRetryTokens: 10,
	failuresBeforeEjection: 3,
	baseEjectionMs: 200,
	maxEjectionMs: 1000,
	refusedTargetAvoidMs: 50,
	creditMarginMs: 100,
	dataCentre: 'dc-1',
};

const TICK_MS = 10;
const LOST_MS = 1500;
const OUTCOME_MS = 400;
const LOG_RETRY_MS = 300;
const LIMITS = {teamInProgress: 50, teamWaiting: 50, classWaiting: 50};

/** One entry over virtual time: the shipping admission, with claims as the daemon makes them. */
export class FakeEntry {
	readonly process: VirtualProcess;
	state: AdmissionState = newAdmissionState();
	readonly #parts: EntryParts;
	readonly #requests = new Map<string, FakeRequest>();
	readonly #attempts = new Set<string>();

	constructor(parts: EntryParts) {
		this.#parts = parts;
		this.process = new VirtualProcess(parts.time);
		this.#start();
	}

	get name(): string {
		return this.#parts.name;
	}

	restart(): void {
		this.process.crash();
		this.process.restart();
		this.state = newAdmissionState();
		this.#requests.clear();
		this.#attempts.clear();
		for (const agent of this.#parts.agents) {
			this.#callAgent(agent, () => {
				agent.closeLane(this.name);
			});
		}

		this.#start();
	}

	arrive(request: FakeRequest): void {
		this.process.take(() => {
			this.#requests.set(request.requestId, request);
			if (request.key === '' || this.#parts.mutation === 'no claim is made') {
				this.#admit(request, this.#parts.time.now);
				return;
			}

			this.#claim(request, this.#parts.time.now);
		});
	}

	takeCredits(vm: string, creditIds: readonly string[]): void {
		this.process.take(() => {
			this.#take({
				kind: 'credits', vm, creditIds, validForMs: 1000,
			});
		});
	}

	#start(): void {
		const endpoints = new Map<string, Array<{vm: string; dataCentre: string}>>();
		for (const agent of this.#parts.agents) {
			const target = agent.isService ? 'service/holds' : 'model@v1';
			endpoints.set(target, [...(endpoints.get(target) ?? []), {vm: agent.vm, dataCentre: 'dc-1'}]);
		}

		this.#take({kind: 'endpoints', endpoints});
		this.#tick();
	}

	#tick(): void {
		this.process.after(TICK_MS, () => {
			if (this.#parts.mutation === 'deadlines are not watched') {
				this.state.nextDeadlineAt = Number.POSITIVE_INFINITY;
			}

			this.#take({kind: 'tick'});
			this.#tick();
		});
	}

	/** Sends a claim command until an answer comes or the request's time is over. */
	#claim(request: FakeRequest, arrivedAt: number): void {
		let isAnswered = false;
		const onResult = (result: ClaimResult): void => {
			if (isAnswered) {
				return;
			}

			isAnswered = true;
			if (result.kind === 'claimed') {
				this.#admit(request, arrivedAt);
			} else {
				this.#answerClaimed(request, result);
			}
		};

		const send = (): void => {
			if (isAnswered) {
				return;
			}

			this.#callLog({
				kind: 'claim', team: request.team, key: request.key, requestHash: 'hash', lifetimeMs: request.deadlineMs + 2000, owner: request.requestId,
			}, onResult);
			this.process.after(LOG_RETRY_MS, send);
		};

		send();
		this.process.after(request.deadlineMs, () => {
			if (!isAnswered) {
				isAnswered = true;
				this.#answer(request, RESULT_CODE.NoQuorum, OUTCOME.NotRun, '');
				this.#settle(request, {outcome: OUTCOME.NotRun, status: 0, contentType: ''});
			}
		});
	}

	#callLog(command: ClaimCommand, onResult: (result: ClaimResult) => void): void {
		const {run} = this.process;
		this.#parts.network.send(this.name, 'leader', () => {
			const result = this.#parts.log(command);
			this.#parts.network.send('leader', this.name, () => {
				if (run === this.process.run) {
					this.process.take(() => {
						onResult(result);
					});
				}
			});
		});
	}

	#answerClaimed(request: FakeRequest, result: ClaimResult): void {
		if (result.kind === 'settled' && result.claim.answer?.outcome === OUTCOME.Ran) {
			this.#answer(request, RESULT_CODE.Ok, OUTCOME.Ran, result.claim.answer.body ?? '');
			return;
		}

		const isRunning = result.kind === 'running' && !result.isOverdue;
		this.#answer(request, isRunning ? RESULT_CODE.InProgress : RESULT_CODE.OutcomeUnknown, OUTCOME.Unknown, '');
	}

	#admit(request: FakeRequest, arrivedAt: number): void {
		const isRepeatable = request.key === '' || this.#parts.mutation === 'unknown outcomes are retried';
		this.#take({
			kind: 'arrive',
			request: {
				requestId: request.requestId,
				team: request.team,
				teamWeight: 1,
				className: 'default',
				classWeight: 1,
				target: request.target,
				arrivedAt,
				deadlineAt: arrivedAt + request.deadlineMs,
				isRepeatable,
			},
			limits: LIMITS,
		});
	}

	#take(event: AdmissionEvent): void {
		for (const effect of mutateAdmission(this.state, SETTINGS, event, this.#parts.time.now)) {
			this.#carryOut(effect);
		}
	}

	#carryOut(effect: AdmissionEffect): void {
		switch (effect.kind) {
			case 'dispatch': {
				this.#dispatch(effect);
				break;
			}

			case 'refuse': {
				this.#refuse(effect.requestId, effect.code, effect.outcome);
				break;
			}

			case 'cancel': {
				this.#attempts.delete(effect.attemptId);
				break;
			}

			case 'retry': {
				break;
			}

			default: {
				const agent = this.#getAgent(effect.vm);
				this.#callAgent(agent, () => {
					agent.want(this.name, effect.wanted);
				});
			}
		}
	}

	#getAgent(vm: string): FakeDispatchAgent {
		return this.#parts.agents.find(agent => agent.vm === vm)!;
	}

	#callAgent(agent: FakeDispatchAgent, action: () => void): void {
		const {run} = agent.process;
		this.#parts.network.send(this.name, agent.vm, () => {
			if (run === agent.process.run) {
				agent.process.take(action);
			}
		});
	}

	#replyFrom(agent: FakeDispatchAgent, action: () => void): void {
		const {run} = this.process;
		this.#parts.network.send(agent.vm, this.name, () => {
			if (run === this.process.run) {
				this.process.take(action);
			}
		});
	}

	#dispatch({requestId, attemptId, vm, creditId, remainingMs}: Dispatch): void {
		const agent = this.#getAgent(vm);
		const request = this.#requests.get(requestId)!;
		this.#attempts.add(attemptId);
		this.#callAgent(agent, () => {
			agent.dispatch(attemptId, creditId, request.requestId, remainingMs, reply => {
				this.#replyFrom(agent, () => {
					const isAwaited = this.#attempts.delete(attemptId);
					if (!isAwaited && this.#parts.mutation !== 'late answers are taken') {
						return;
					}

					if (reply.kind === 'answer') {
						this.#end(request, attemptId, reply.content);
					} else {
						this.#fail(requestId, attemptId, reply.code, reply.outcome);
					}
				});
			});
		});
		this.process.after(LOST_MS, () => {
			if (this.#attempts.has(attemptId)) {
				this.#lose(agent, requestId, attemptId, creditId);
			}
		});
	}

	/** The connection broke: the agent is asked what became of the attempt. */
	#lose(agent: FakeDispatchAgent, requestId: string, attemptId: string, creditId: string): void {
		this.#attempts.delete(attemptId);
		let isAnswered = false;
		const end = (outcome: OutcomeValue): void => {
			if (!isAnswered) {
				isAnswered = true;
				this.#fail(requestId, attemptId, RESULT_CODE.AgentLost, outcome === OUTCOME.NotRun ? outcome : OUTCOME.Unknown);
			}
		};

		this.#callAgent(agent, () => {
			const outcome = agent.withdraw(attemptId, creditId);
			this.#replyFrom(agent, () => {
				end(outcome);
			});
		});
		this.process.after(OUTCOME_MS, () => {
			end(this.#parts.mutation === 'refusals count as not run' ? OUTCOME.NotRun : OUTCOME.Unknown);
		});
	}

	#fail(requestId: string, attemptId: string, code: ResultCodeValue, outcome: OutcomeValue): void {
		this.#take({
			kind: 'failed', requestId, attemptId, code, outcome, jitter: this.#parts.random(),
		});
	}

	#end(request: FakeRequest, attemptId: string, content: string): void {
		const isCurrent = this.state.requests.get(request.requestId)?.attemptId === attemptId;
		this.#take({kind: 'finished', requestId: request.requestId, attemptId});
		if (!isCurrent && this.#parts.mutation !== 'late answers are taken') {
			return;
		}

		this.#settle(request, {
			outcome: OUTCOME.Ran, status: 200, contentType: '', body: content,
		});
		this.#answer(request, RESULT_CODE.Ok, OUTCOME.Ran, content);
	}

	#refuse(requestId: string, code: ResultCodeValue, outcome: OutcomeValue): void {
		const request = this.#requests.get(requestId)!;
		this.#settle(request, {outcome, status: 0, contentType: ''});
		this.#answer(request, code, outcome, '');
	}

	#settle(request: FakeRequest, answer: StoredResponse): void {
		if (request.key !== '') {
			this.#callLog({
				kind: 'settle', team: request.team, key: request.key, owner: request.requestId, answer,
			}, () => undefined);
		}
	}

	#answer(request: FakeRequest, code: ResultCodeValue, outcome: OutcomeValue, content: string): void {
		this.#requests.delete(request.requestId);
		this.#parts.onAnswer(request.requestId, code, outcome, content);
	}
}
