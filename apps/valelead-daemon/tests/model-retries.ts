import {OUTCOME, RESULT_CODE} from '@valelead/common';
import {
	type AdmissionEvent, type AdmissionSettings, type AdmissionState, mutateAdmission, newAdmissionState,
} from '@valelead/admission';
import {newPlainArrival} from '../../../tests/support/new-plain-arrival.js';
import {GatewayCensus, GatewayCount, newGatewayAdmission} from 'valelead-daemon';

type ModelGateway = {
	readonly vm: string;
	readonly state: AdmissionState;
	readonly count: GatewayCount;
	/** Whether no leader is heard. */
	isCut: boolean;
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
export class ModelRetries {
	readonly ticks: Tick[] = [];
	#now = 0;
	#nextId = 1;
	readonly #clock = {now: () => this.#now, wallNow: () => this.#now};
	readonly #gateways: Array<ModelGateway | undefined>;
	#census = new GatewayCensus(this.#clock);

	constructor(gateways: number) {
		this.#gateways = Array.from({length: gateways}, (_, index) => this.#newGateway(index));
	}

	/** Time passes; each gateway gets a request a tick, and a share of them fails at every upstream. */
	pass(ms: number, share: number): void {
		for (let passedMs = 0; passedMs < ms; passedMs += TICK_MS) {
			this.#now += TICK_MS;
			this.ticks.push({requests: 0, repeats: 0});
			this.#census.forgetSilent();
			for (const [index, gateway] of this.#gateways.entries()) {
				if (gateway) {
					this.#report(gateway);
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
		this.#census = new GatewayCensus(this.#clock);
	}

	/** A gateway hears no leader any more, or does again. */
	cut(index: number): void {
		const gateway = this.#gateways[index];
		if (gateway) {
			gateway.isCut = !gateway.isCut;
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

	#newGateway(index: number): ModelGateway {
		const gateway = {
			vm: `gateway-${index}`, state: newAdmissionState(), count: new GatewayCount({clock: this.#clock, suspensions: NO_SUSPENSIONS}), isCut: false,
		};
		this.#take(gateway, {kind: 'endpoints', endpoints: new Map([[TARGET, UPSTREAMS]])}, false);
		return gateway;
	}

	#report(gateway: ModelGateway): void {
		if (!gateway.isCut) {
			this.#census.note(gateway.vm);
			gateway.count.take(this.#census.count, this.#now);
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
			dataCentre: 'd', ratio: RATIO, reserve: RESERVE, windowMs: WINDOW_TICKS * TICK_MS, gatewayCount: count.value, countedSince: count.countedSince,
		});
	}
}
