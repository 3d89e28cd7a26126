import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {
	type AdmissionEvent, type AdmissionSettings, type AdmissionState, mutateAdmission, newAdmissionState,
} from '@valelead/admission';
import {newPlainArrival} from '../../../tests/support/new-plain-arrival.js';
import {
	FirstShares, GatewayCensus, GatewayCount, newGatewayAdmission,
} from 'valelead-daemon';

/** What a leader told a gateway. */
type Update = {
	readonly count: number;
	/** When the gateway made the last report that had come by then. */
	readonly askedAt: number;
	readonly hasRouting: boolean;
	readonly unspentShares: number;
};

type ModelGateway = {
	readonly vm: string;
	readonly state: AdmissionState;
	readonly count: GatewayCount;
	/** Without one it sends nothing. */
	hasRouting: boolean;
	/** Whether no leader is heard. */
	isCut: boolean;
	/** Whether its reports are lost on their way, but no updates. */
	isMute: boolean;
	/** Whether updates are on their way for long. */
	isDelayed: boolean;
	/** Whether the process is paused. */
	isPaused: boolean;
	readonly updates: Update[];
};

/** What a leader knows of a gateway. */
type ModelSession = {
	askedAt: number;
	hasRouting: boolean;
};

/** Whether the installation has a routing from the beginning on, and whether its leaders tell of retries that nobody has spent. */
type ModelTerms = {
	readonly hasRouting: boolean;
	readonly isFirstShared: boolean;
};

/** What arrived at the service in one tick. */
type Tick = {
	requests: number;
	repeats: number;
};

const TICK_MS = 250;
const WINDOW_TICKS = 40;
const RATIO = 0.2;
const RESERVE = 64;
const TARGET = 'service/s';

/** Enough that a request always finds one that it may try again. */
const UPSTREAMS = Array.from({length: 12}, (_, index) => ({vm: `u${index}`, dataCentre: 'd', places: 1000}));
const NO_SUSPENSIONS = {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0};

/** Gateways that send requests to one service, some of which fails, with the shipped budget and the shipped ways to count gateways. */
export class RetryModel {
	readonly ticks: Tick[] = [];
	#now = 0;
	#nextId = 1;
	readonly #clock = {now: () => this.#now, wallNow: () => this.#now};
	readonly #gateways: Array<ModelGateway | undefined>;
	#census = new GatewayCensus(this.#clock);
	readonly #terms: ModelTerms;
	#hasRouting: boolean;
	#hasLeader = true;
	#term = 1;
	#firstRoutingTerm: number | undefined;
	#firstShares: FirstShares;
	#sessions = new Map<ModelGateway, ModelSession>();

	constructor(gateways: number, {hasRouting = true, isFirstShared = true}: Partial<ModelTerms> = {}) {
		this.#terms = {hasRouting, isFirstShared};
		this.#hasRouting = hasRouting;
		this.#firstShares = this.#newFirstShares();
		this.#gateways = Array.from({length: gateways}, (_, index) => this.#newGateway(index));
	}

	get gatewayCount(): number {
		return this.#gateways.length;
	}

	/** Time passes; each gateway gets a request a tick, and a share of them fails at every upstream. */
	pass(ms: number, share: number): void {
		for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
			this.#now += TICK_MS;
			this.ticks.push({requests: 0, repeats: 0});
			this.#census.forgetSilent();
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

	/** A gateway's process is killed and starts again. */
	kill(index: number): void {
		this.#gateways[index] &&= this.#newGateway(index);
	}

	killAll(): void {
		for (const index of this.#gateways.keys()) {
			this.kill(index);
		}

		this.lead();
	}

	/** Another leader begins, which has heard nobody. */
	lead(): void {
		this.#hasLeader = true;
		this.#term += 1;
		this.#census = new GatewayCensus(this.#clock);
		this.#firstShares = this.#newFirstShares();
		this.#sessions = new Map();
	}

	/** The leader is killed, and there is none until another one begins. */
	killLeader(): void {
		this.#hasLeader = false;
		this.#sessions = new Map();
	}

	/** The leader of an installation without a routing gets one. */
	route(): void {
		if (!this.#hasRouting && this.#hasLeader) {
			this.#hasRouting = true;
			this.#firstRoutingTerm = this.#term;
			this.#firstShares.noteState();
		}
	}

	/** A gateway's reports are lost, or come again. */
	mute(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isMute = !gateway.isMute;
		}
	}

	/** Updates to a gateway are held up, or come together. */
	delay(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isDelayed = !gateway.isDelayed;
		}
	}

	/** A gateway's process is paused, or goes on. */
	pause(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isPaused = !gateway.isPaused;
		}
	}

	/** A gateway hears no leader any more, or does again. */
	cut(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isCut = !gateway.isCut;
			gateway.updates.length = 0;
			this.#sessions.delete(gateway);
		}
	}

	/** A gateway that was taken away comes back. */
	join(index: number): void {
		this.#gateways[index] ??= this.#newGateway(index);
	}

	remove(index: number): void {
		this.#gateways[index] = undefined;
	}

	/** The most arrivals beyond the first of each request in any window, less those that the budget allows. */
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

	#newFirstShares(): FirstShares {
		return new FirstShares({
			clock: this.#clock, getTerm: () => this.#term, getFirstRoutingTerm: () => this.#firstRoutingTerm, getGatewayCount: () => this.#census.count,
		});
	}

	#newGateway(index: number): ModelGateway {
		const gateway = {
			vm: `gateway-${index}`,
			state: newAdmissionState(),
			count: new GatewayCount({clock: this.#clock, suspensions: NO_SUSPENSIONS}),
			hasRouting: this.#terms.hasRouting,
			isCut: false,
			isMute: false,
			isDelayed: false,
			isPaused: false,
			updates: [],
		};
		this.#take(gateway, {kind: 'endpoints', endpoints: new Map([[TARGET, UPSTREAMS]])}, false);
		return gateway;
	}

	/** A gateway reports to the leader, which answers; it hears what has come by then. */
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
			this.#census.note(gateway.vm);
			this.#firstShares.note(gateway, {routingVersion: gateway.hasRouting ? 1 : 0});
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
		const unspentShares = hasRouting && this.#terms.isFirstShared ? this.#firstShares.take({vm}) : 0;
		return {
			count: this.#census.count, askedAt: session.askedAt, hasRouting, unspentShares,
		};
	}

	#hear(gateway: ModelGateway): void {
		for (const {count, askedAt, hasRouting, unspentShares} of gateway.updates.splice(0)) {
			const hadRouting = gateway.hasRouting;
			gateway.hasRouting ||= hasRouting;
			gateway.count.take({
				count, askedAt, isServing: gateway.hasRouting, unspentShares: hadRouting ? 0 : unspentShares,
			});
		}
	}

	#serve(gateway: ModelGateway, isFailing: boolean): void {
		this.#nextId += 1;
		this.ticks.at(-1)!.requests += 1;
		this.#take(gateway, newPlainArrival({
			requestId: String(this.#nextId), target: TARGET, arrivedAt: this.#now, deadlineAt: this.#now + 1000, budget: 's',
		}), isFailing);
	}

	#take(gateway: ModelGateway, event: AdmissionEvent, isFailing: boolean): void {
		for (const effect of mutateAdmission(gateway.state, this.#getSettings(gateway), event, this.#now)) {
			if (effect.kind === 'dispatch') {
				const {requestId, attemptId} = effect;
				this.ticks.at(-1)!.repeats += attemptId.endsWith('.1') ? 0 : 1;
				this.#take(gateway, isFailing
					? {
						kind: 'failed', requestId, attemptId, code: RESULT_CODE.UpstreamLeaving, outcome: OUTCOME.NotRun, jitter: 0.5,
					}
					: {kind: 'finished', requestId, attemptId}, isFailing);
			}
		}
	}

	#getSettings({count}: ModelGateway): AdmissionSettings {
		return newGatewayAdmission({
			dataCentre: 'd', ratio: RATIO, reserve: RESERVE, windowMs: WINDOW_TICKS * TICK_MS, gatewayCount: count.shares, countedSince: count.countedSince, isUnspent: count.isUnspent,
		});
	}
}
