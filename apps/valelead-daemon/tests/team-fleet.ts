import {pino} from 'pino';
import type {TeamTotals} from '@valelead/protocol';
import {OrderSimulation, type RequestKind} from '../../../packages/admission/tests/order-simulation.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {TeamRegistry, TeamShares} from 'valelead-daemon';

type FleetOptions = {
	/** False if each gateway orders requests by its own dispatches alone. */
	readonly isShared: boolean;
	/** Start and length of the time in which no leader answers; afterwards another leader answers, which knows nothing. */
	readonly silence?: {readonly from: number; readonly durationMs: number};
};

type SimulatedGateway = {
	readonly simulation: OrderSimulation;
	readonly shares: TeamShares;
	/** What the leader sent in the present session. */
	sent: {term: number; readonly counts: Map<string, number>};
	isFirst: boolean;
	nextReportAt: number;
	heardAt: number;
};

export const GATEWAYS = 28;
const STEP_MS = 10;
const LINK_MS = 20;
const HEARTBEAT_MS = 500;

/** A gateway leaves a leader that has not answered for this time, as `SessionClient` does. */
const MAX_SILENCE_MS = 950;

/** Each gateway has the same share of the slots of the engines: about 10 requests a second. */
const SLOTS = 4;
const START_MS = 100;
const END_MS = 400;

/** The admission, the team shares and the registry of 28 gateways and their leader in virtual time. All engines are full if the demand is. */
export class TeamFleet {
	/** The largest amount by which a team came to lie ahead of the virtual time of a gateway. */
	maxAhead = 0;
	readonly gateways: SimulatedGateway[];
	readonly #options: FleetOptions;
	readonly #time = new VirtualTime();
	readonly #leader = new TeamRegistry({getTerm: () => this.#time.now < this.#silenceEndsAt ? 1 : 2});

	constructor(options: FleetOptions) {
		this.#options = options;
		this.gateways = Array.from({length: GATEWAYS}, (_, index) => this.#newGateway(index));
	}

	/** Advances the time; requests arrive meanwhile. */
	run(forMs: number, getKinds: (gateway: number) => readonly RequestKind[]): void {
		const endsAt = this.#time.now + forMs;
		while (this.#time.now < endsAt) {
			this.#time.advance(STEP_MS);
			for (const [index, gateway] of this.gateways.entries()) {
				gateway.simulation.run(STEP_MS, getKinds(index));
				if (this.#options.isShared) {
					this.#report(index, gateway);
				}
			}
		}
	}

	/** Returns the mean share of requests of a kind that were in time, over some gateways. */
	getShareInTime(kind: string, gateways: readonly number[]): number {
		return gateways.reduce((sum, index) => sum + this.gateways[index].simulation.getShareInTime(kind), 0) / gateways.length;
	}

	/** Returns what all gateways have dispatched of a team. */
	getDispatched(team: string): number {
		return this.gateways.reduce((sum, {simulation}) => sum + (simulation.state.teams.get(team)?.dispatched ?? 0), 0);
	}

	get #silenceEndsAt(): number {
		const {from, durationMs} = this.#options.silence ?? {from: Number.POSITIVE_INFINITY, durationMs: 0};
		return from + durationMs;
	}

	get #isSilent(): boolean {
		return this.#time.now >= (this.#options.silence?.from ?? Number.POSITIVE_INFINITY) && this.#time.now < this.#silenceEndsAt;
	}

	#newGateway(index: number): SimulatedGateway {
		const simulation = new OrderSimulation({
			slots: SLOTS, startMs: START_MS, endMs: END_MS, isOrderedByLatestStart: true, seed: index,
		});
		const table: Readonly<Record<string, unknown>> = {teams: new Map([['large', {}], ['small', {}]])};
		const shares = new TeamShares({
			state: simulation.state,
			getTable: () => table as never,
			clock: {now: () => this.#time.now, wallNow: () => this.#time.now},
			suspensions: {lostMs: 0},
			logger: pino({level: 'silent'}),
		});
		return {
			simulation, shares, sent: {term: -1, counts: new Map()}, isFirst: true, nextReportAt: index * STEP_MS, heardAt: 0,
		};
	}

	#report(index: number, gateway: SimulatedGateway): void {
		const {now} = this.#time;
		if (now - gateway.heardAt > MAX_SILENCE_MS) {
			gateway.isFirst = true;
		}

		if (now < gateway.nextReportAt) {
			return;
		}

		gateway.nextReportAt = now + HEARTBEAT_MS;
		const report = gateway.shares.getReport(now, gateway.isFirst);
		if (this.#isSilent) {
			return;
		}

		if (gateway.isFirst) {
			gateway.sent = {term: -1, counts: new Map()};
			gateway.isFirst = false;
		}

		this.#time.after(LINK_MS, () => {
			const vm = `vm-${index}`;
			this.#leader.note(vm, report);
			const totals = this.#leader.newTotals(vm, gateway.sent);
			this.#time.after(LINK_MS, () => {
				this.#update(gateway, totals, now);
			});
		});
	}

	#update(gateway: SimulatedGateway, totals: TeamTotals | undefined, reportedAt: number): void {
		gateway.heardAt = this.#time.now;
		gateway.shares.handleUpdate({totals, reportedAt});
		const {state} = gateway.simulation;
		this.maxAhead = Math.max(this.maxAhead, ...[...state.teams.values()].map(({virtualTime}) => virtualTime - state.virtualTime));
	}
}
