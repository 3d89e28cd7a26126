import {OUTCOME, type OutcomeValue, type ResultCodeValue} from '@valelead/common';
import {
	type AgentEffect, type AgentEvent, type AgentSettings, type AgentState, mutateAgent, mutateWithdrawnAttempt, newAgentState,
} from '@valelead/engine';
import {VirtualProcess} from '../support/virtual-process.js';
import type {VirtualNetwork} from '../support/virtual-network.js';
import type {VirtualTime} from '../support/virtual-time.js';
import type {RequestMutation} from './request-mutation.js';

type AgentHooks = {
	/** The upstream ran an attempt. */
	readonly onRun: (attemptId: string) => void;
	readonly onAccept: (vm: string) => void;
	readonly onCredits: (entry: string, creditIds: readonly string[]) => void;
};

type DispatchReply = {
	readonly kind: 'answer' | 'refusal';
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	readonly content: string;
};

const SETTINGS: AgentSettings = {
	creditMs: 1000,
	spareCredits: 2,
	maxConfigurationAgeMs: 3000,
	replicaLeaseMs: 60_000,
	settleMs: 100,
	loadRetryMs: 100,
};

const UNIT = 'model@v1';
const HOUSEKEEPING_MS = 100;
const WORK_MS = 40;

/** An agent and its upstream over virtual time, with its unit loaded from the start. */
export class FakeDispatchAgent {
	readonly process: VirtualProcess;
	isDrained = false;
	/** When the drain was accepted by the log. */
	drainedAt = Number.POSITIVE_INFINITY;
	state: AgentState = newAgentState();
	readonly #time: VirtualTime;
	readonly #network: VirtualNetwork;
	readonly #mutation: RequestMutation;
	readonly #hooks: AgentHooks;
	readonly #settings: AgentSettings;
	readonly #replies = new Map<string, (reply: DispatchReply) => void>();

	constructor(readonly vm: string, readonly isService: boolean, time: VirtualTime, network: VirtualNetwork, mutation: RequestMutation, hooks: AgentHooks) {
		this.#time = time;
		this.#network = network;
		this.#mutation = mutation;
		this.#hooks = hooks;
		this.#settings = mutation === 'configuration never ages' ? {...SETTINGS, maxConfigurationAgeMs: Number.POSITIVE_INFINITY} : SETTINGS;
		this.process = new VirtualProcess(time);
		this.#start();
	}

	restart(): void {
		this.process.crash();
		this.process.restart();
		this.state = newAgentState();
		this.#replies.clear();
		this.#start();
	}

	want(entry: string, wanted: number): void {
		this.#take({kind: 'lane', entry, wanted});
	}

	closeLane(entry: string): void {
		this.#take({kind: 'laneClosed', entry});
	}

	dispatch(attemptId: string, creditId: string, content: string, remainingMs: number, reply: (reply: DispatchReply) => void): void {
		this.#replies.set(attemptId, reply);
		const effects = this.#take({
			kind: 'dispatch', attemptId, creditId, unit: this.isService ? '' : UNIT, remainingMs,
		});
		const decision = effects.find(effect => effect.kind === 'accept' || effect.kind === 'refuse');
		if (decision?.kind === 'refuse') {
			reply({
				kind: 'refusal', code: decision.code, outcome: decision.outcome, content: '',
			});
			return;
		}

		this.#hooks.onAccept(this.vm);
		this.#hooks.onRun(attemptId);
		this.process.after(WORK_MS, () => {
			this.#take({kind: 'attemptEnded', attemptId});
			reply({
				kind: 'answer', code: 0, outcome: OUTCOME.Ran, content,
			});
		});
	}

	withdraw(attemptId: string, creditId: string): OutcomeValue {
		if (this.#mutation === 'lost dispatches are not withdrawn') {
			return this.state.attempts.has(attemptId) ? OUTCOME.Unknown : OUTCOME.NotRun;
		}

		return mutateWithdrawnAttempt(this.state, attemptId, creditId);
	}

	#start(): void {
		this.process.after(1, () => {
			this.#keepHouse();
		});
	}

	/** Asks the upstream and the leader, as an agent does all the time. */
	#keepHouse(): void {
		const requestedAt = this.#time.now;
		this.#take({
			kind: 'status',
			requestedAt,
			status: {
				incarnation: 'one',
				memoryBytes: 10,
				units: this.isService ? [] : [{unit: UNIT, state: 'ready', memoryBytes: 10}],
				cached: [],
				service: this.isService ? 'holds' : '',
				capacity: 4,
				isLeaving: false,
				abilities: {checksFence: false, resumesStreams: false, honoursPriorities: false},
			},
		});
		this.#askLeader(requestedAt);
		this.#take({kind: 'tick'});
		this.process.after(HOUSEKEEPING_MS, () => {
			this.#keepHouse();
		});
	}

	#askLeader(requestedAt: number): void {
		const {run} = this.process;
		this.#network.send(this.vm, 'leader', () => {
			const grants = this.isService
				? []
				: [{
					id: 'grant', unit: UNIT, base: '', memoryBytes: 10, fence: 1, isRevoking: false,
				}];
			const orders = {revision: this.isDrained ? 2 : 1, isDrained: this.isDrained, grants};
			this.#network.send('leader', this.vm, () => {
				if (run === this.process.run) {
					this.process.take(() => {
						this.#take({kind: 'orders', orders, requestedAt});
					});
				}
			});
		});
	}

	#take(event: AgentEvent): AgentEffect[] {
		const effects = mutateAgent(this.state, this.#settings, event, this.#time.now);
		for (const effect of effects) {
			if (effect.kind === 'credits') {
				this.#hooks.onCredits(effect.entry, effect.creditIds);
			}
		}

		return effects;
	}
}
