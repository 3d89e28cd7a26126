import {
	OUTCOME, type OutcomeValue, RESULT_CODE, type ResultCodeValue,
} from '@valelead/common';
import {
	type AdmissionEvent, type AdmissionSettings, type AdmissionState, mutateAdmission, newAdmissionState,
} from '@valelead/admission';
import {pino} from 'pino';
import {newPlainArrival} from '../../../tests/support/new-plain-arrival.js';
import {
	type GatewayLog, BudgetShares, InitialRetryShares, GatewayRegistry, GatewayCount, newGatewayAdmission,
} from 'valelead-daemon';

/** An update of the leader to a gateway. */
type Update = {
	readonly count: number;
	/** When the gateway sent the last report that the leader had received by then, in milliseconds of the model. */
	readonly askedAt: number;
	readonly hasRouting: boolean;
	readonly unspentShares: number;
	readonly budgetShares: number;
};

type ModelGateway = {
	readonly vm: string;
	readonly state: AdmissionState;
	readonly count: GatewayCount;
	/** True once the gateway has a routing configuration; it sends no requests before. */
	hasRouting: boolean;
	/** True while the gateway is partitioned from the leader. */
	isCut: boolean;
	/** True while the gateway's reports are lost but the leader's updates arrive. */
	isMute: boolean;
	/** True while the leader's updates to the gateway are delayed. */
	isDelayed: boolean;
	/** True while the gateway's process is paused. */
	isPaused: boolean;
	readonly updates: Update[];
};

/** A leader's session with a gateway. */
type ModelSession = {
	askedAt: number;
	hasRouting: boolean;
};

type ModelOptions = {
	/** True if the installation has a routing configuration from the start. */
	readonly hasRouting: boolean;
	/** True if leaders inform gateways of shares of the retry budget that cannot have been spent. */
	readonly isFirstShared: boolean;
	/** The ways in which attempts fail, one after the other. */
	readonly failures: readonly AttemptFailure[];
};

type AttemptFailure = {
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	/** True if the attempt reached no upstream. */
	readonly isUnsent?: boolean;
};

/** Arrivals at the service in one tick: first attempts and retries. */
type Tick = {
	requests: number;
	repeats: number;
};

const TICK_MS = 250;
const WINDOW_TICKS = 40;
const RATIO = 0.2;
const RESERVE = 64;
const TARGET = 'service/s';

/** There are enough upstreams for a request to always find one that it has not tried. */
const UPSTREAMS = Array.from({length: 12}, (_, index) => ({vm: `u${index}`, dataCentre: 'd', concurrencyLimit: 1000}));
const REJECTION: AttemptFailure = {code: RESULT_CODE.UpstreamLeaving, outcome: OUTCOME.NotRun};
const NO_SUSPENSIONS = {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0};

/** A model of gateways that send requests, some of which fail, to one service. It uses the real retry budget and the real counting of gateways. */
export class RetryModel {
	readonly ticks: Tick[] = [];
	#now = 0;
	#nextId = 1;
	/** Requests that have reached an upstream. */
	readonly #arrived = new Set<string>();
	#failed = 0;
	readonly #clock = {now: () => this.#now, wallNow: () => this.#now};
	readonly #gateways: Array<ModelGateway | undefined>;
	#census = new GatewayRegistry(this.#clock);
	readonly #options: ModelOptions;
	#hasRouting: boolean;
	#hasLeader = true;
	#term = 1;
	#firstRoutingTerm: number | undefined;
	#firstShares: InitialRetryShares;
	#sessions = new Map<ModelGateway, ModelSession>();
	/** The number of gateways in the replicated log. */
	#committedCount = 0;
	#shares = this.#newShares();

	constructor(gateways: number, {hasRouting = true, isFirstShared = true, failures = [REJECTION]}: Partial<ModelOptions> = {}) {
		this.#options = {hasRouting, isFirstShared, failures};
		this.#hasRouting = hasRouting;
		this.#firstShares = this.#newFirstShares();
		this.#gateways = Array.from({length: gateways}, (_, index) => this.#newGateway(index));
	}

	get gatewayCount(): number {
		return this.#gateways.length;
	}

	/** Advances the time; each gateway gets one request per tick, and the given fraction of them fails at every upstream. */
	pass(ms: number, share: number): void {
		for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
			this.#now += TICK_MS;
			this.ticks.push({requests: 0, repeats: 0});
			this.#census.removeSilent();
			this.#noteCount();
			for (const [index, gateway] of this.#gateways.entries()) {
				if (gateway) {
					this.#exchange(gateway);
				}

				if (gateway?.hasRouting && !gateway.isPaused) {
					this.#serve(gateway, ((index + this.ticks.length) % 10) < share * 10);
				}
			}
		}
	}

	/** Kills a gateway's process and starts it again. */
	kill(index: number): void {
		this.#gateways[index] &&= this.#newGateway(index);
	}

	killAll(): void {
		for (const index of this.#gateways.keys()) {
			this.kill(index);
		}

		this.lead();
	}

	/** Starts a new leader, which has received no reports yet. */
	lead(): void {
		this.#hasLeader = true;
		this.#term += 1;
		this.#census = new GatewayRegistry(this.#clock);
		this.#firstShares = this.#newFirstShares();
		this.#shares = this.#newShares();
		this.#sessions = new Map();
	}

	/** Kills the leader; there is none until a new one starts. */
	killLeader(): void {
		this.#hasLeader = false;
		this.#sessions = new Map();
	}

	/** Gives the leader of an installation its first routing configuration. */
	route(): void {
		if (!this.#hasRouting && this.#hasLeader) {
			this.#hasRouting = true;
			this.#firstRoutingTerm = this.#term;
			this.#firstShares.refreshState();
		}
	}

	/** Toggles whether a gateway's reports are lost. */
	mute(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isMute = !gateway.isMute;
		}
	}

	/** Toggles whether updates to a gateway are delayed; delayed updates arrive together. */
	delay(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isDelayed = !gateway.isDelayed;
		}
	}

	/** Pauses or resumes a gateway's process. */
	pause(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isPaused = !gateway.isPaused;
		}
	}

	/** Partitions a gateway from the leader, or ends the partition. */
	cut(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isCut = !gateway.isCut;
			gateway.updates.length = 0;
			this.#sessions.delete(gateway);
		}
	}

	/** Adds a gateway again that was removed. */
	join(index: number): void {
		this.#gateways[index] ??= this.#newGateway(index);
	}

	remove(index: number): void {
		this.#gateways[index] = undefined;
	}

	/** The most retries in any window, minus those that the budget allows. */
	get excess(): number {
		let excess = Number.NEGATIVE_INFINITY;
		for (let end = 1; end <= this.ticks.length; end += 1) {
			const requests = [0, WINDOW_TICKS / 2, WINDOW_TICKS].map(before => this.#sum('requests', end - before));
			excess = Math.max(excess, this.#sum('repeats', end) - (RATIO * Math.max(...requests)) - RESERVE);
		}

		return excess;
	}

	get repeats(): number {
		return this.#sum('repeats', this.ticks.length, this.ticks.length);
	}

	#sum(kind: keyof Tick, end: number, length = WINDOW_TICKS): number {
		let sum = 0;
		for (let index = Math.max(0, end - length); index < end; index += 1) {
			sum += this.ticks[index][kind];
		}

		return sum;
	}

	#newFirstShares(): InitialRetryShares {
		return new InitialRetryShares({
			clock: this.#clock, getTerm: () => this.#term, getFirstRoutingTerm: () => this.#firstRoutingTerm, getGatewayCount: () => this.#census.count,
		});
	}

	#noteCount(): void {
		if (this.#hasLeader) {
			this.#shares.note(this.#census.count);
		}
	}

	/** Creates the part of a leader that decides on shares; its log commits at once. */
	#newShares(): BudgetShares {
		const term = this.#term;
		const getCount = (): number => this.#committedCount;
		const voter: GatewayLog = {
			node: {term, canRead: true},
			machine: {
				get gatewayCount() {
					return getCount();
				},
			},
			changeGatewayCount: async count => {
				this.#committedCount = count;
			},
		};
		return new BudgetShares({voter, clock: this.#clock, logger: pino({enabled: false})});
	}

	#newGateway(index: number): ModelGateway {
		const gateway = {
			vm: `gateway-${index}`,
			state: newAdmissionState(),
			count: new GatewayCount({clock: this.#clock, suspensions: NO_SUSPENSIONS}),
			hasRouting: this.#options.hasRouting,
			isCut: false,
			isMute: false,
			isDelayed: false,
			isPaused: false,
			updates: [],
		};
		this.#take(gateway, {kind: 'endpoints', endpoints: new Map([[TARGET, UPSTREAMS]])}, false);
		return gateway;
	}

	/** Sends a report of a gateway to the leader, which answers, and applies the updates that have arrived. */
	#exchange(gateway: ModelGateway): void {
		if (!gateway.isCut && this.#hasLeader) {
			this.#report(gateway);
		}

		if (!gateway.isDelayed && !gateway.isPaused) {
			this.#hear(gateway);
		}
	}

	#report(gateway: ModelGateway): void {
		if (!gateway.isMute && !gateway.isPaused) {
			this.#census.noteReport(gateway.vm);
			this.#noteCount();
			this.#firstShares.noteReport(gateway, {routingVersion: gateway.hasRouting ? 1 : 0});
			const known = this.#sessions.get(gateway);
			this.#sessions.set(gateway, {askedAt: this.#now, hasRouting: known?.hasRouting ?? gateway.hasRouting});
		}

		const session = this.#sessions.get(gateway);
		if (session) {
			gateway.updates.push(this.#newUpdate(gateway, session));
		}
	}

	#newUpdate({vm}: ModelGateway, session: ModelSession): Update {
		const hasRouting = this.#hasRouting && !session.hasRouting;
		session.hasRouting ||= hasRouting;
		const unspentShares = hasRouting && this.#options.isFirstShared ? this.#firstShares.claimShare({vm}) : 0;
		return {
			count: this.#census.count, askedAt: session.askedAt, hasRouting, unspentShares, budgetShares: this.#shares.count,
		};
	}

	#hear(gateway: ModelGateway): void {
		for (const {count, askedAt, hasRouting, unspentShares, budgetShares} of gateway.updates.splice(0)) {
			const hadRouting = gateway.hasRouting;
			gateway.hasRouting ||= hasRouting;
			gateway.count.handleUpdate({
				count, askedAt, isServing: gateway.hasRouting, unspentShares: hadRouting ? 0 : unspentShares, budgetShares,
			});
		}
	}

	#serve(gateway: ModelGateway, isFailing: boolean): void {
		this.#nextId += 1;
		this.ticks.at(-1)!.requests += 1;
		this.#take(gateway, newPlainArrival({
			requestId: String(this.#nextId), target: TARGET, arrivedAt: this.#now, deadlineAt: this.#now + 1000, retryBudget: 's',
		}), isFailing);
	}

	#take(gateway: ModelGateway, event: AdmissionEvent, isFailing: boolean): void {
		for (const effect of mutateAdmission(gateway.state, this.#getSettings(gateway), event, this.#now)) {
			if (effect.kind === 'dispatch') {
				const {requestId, attemptId} = effect;
				const failure = isFailing ? this.#getNextFailure() : undefined;
				if (failure?.isUnsent !== true) {
					this.ticks.at(-1)!.repeats += this.#arrived.has(requestId) ? 1 : 0;
					this.#arrived.add(requestId);
				}

				this.#take(gateway, failure
					? {
						kind: 'failed', requestId, attemptId, code: failure.code, outcome: failure.outcome, jitter: 0.5,
					}
					: {kind: 'finished', requestId, attemptId}, isFailing);
			}
		}
	}

	#getNextFailure(): AttemptFailure {
		this.#failed += 1;
		return this.#options.failures[this.#failed % this.#options.failures.length];
	}

	#getSettings({count}: ModelGateway): AdmissionSettings {
		return newGatewayAdmission({
			dataCentre: 'd', ratio: RATIO, reserve: RESERVE, windowMs: WINDOW_TICKS * TICK_MS, gatewayCount: count.shares, countedSince: count.countedSince, isUnspent: count.isUnspent,
		});
	}
}
