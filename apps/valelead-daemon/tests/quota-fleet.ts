import {type TimerService, RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import {
	type Quota, type QuotaTolerance, QUOTA_UNIT, SMALL_WAITING_RESERVE_SHARE,
} from '@valelead/quota';
import {pino} from 'pino';
import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {newVirtualTimers} from '../../../tests/support/new-virtual-timers.js';
import {VirtualTime} from '../../../tests/support/virtual-time.js';
import {
	encodeQuotaUsage, type GatewayRequest, QuotaGate, QuotaRegistry,
} from 'valelead-daemon';

type FleetOptions = {
	readonly seed: number;
	/** Start and length of the time during which no leader answers; afterwards another leader answers, which knows no loans. */
	readonly silence: {readonly from: number; readonly durationMs: number};
	/** Factor by which the surging team exceeds its usual rate, for `SURGE_MS` from the start of the silence. */
	readonly surge: number;
	/** Number of the surging team; 0 is the largest. */
	readonly surgingTeam: number;
	/** Whether gateways use the quota reserve. */
	readonly hasReserve: boolean;
	/** Gateways that are restarted in the middle of the silence. */
	readonly restarts?: number;
};

/** Outcomes of the requests that arrived in one phase. */
type PhaseCounts = {
	sent: number;
	/** Refused with 2015, and those of them that a single token bucket of rate and burst for all gateways would have admitted. */
	exceeded: number;
	exceededBelow: number;
	/** The same for 2016. */
	unknown: number;
	unknownBelow: number;
};

type Phase = 'calm' | 'silent' | 'after';

type FleetResult = {
	readonly counts: Readonly<Record<Phase, PhaseCounts>>;
	/** The largest share of its bound that a team used in any window. */
	readonly maxBoundShare: number;
};

type SimulatedTeam = {
	readonly name: string;
	readonly usualShare: number;
	readonly quota: Quota;
	/** The reference bucket. */
	level: number;
	readonly uses: Array<{readonly at: number; readonly cost: number}>;
};

type SimulatedGateway = {
	gate: QuotaGate;
	readonly timers: TimerService;
	session: number;
	isFirst: boolean;
	isDue: boolean;
	nextReportAt: number;
	heardAt: number;
};

type ArrivedRequest = {
	readonly id: string;
	readonly team: SimulatedTeam;
	readonly cost: number;
	readonly phase: Phase;
	readonly isBelow: boolean;
};

const GATEWAYS = 28;
const TEAMS = 16;
const STEP_MS = 10;
const LINK_MS = 5;
const HEARTBEAT_MS = 500;
const MS_PER_SECOND = 1000;

/** A gateway leaves a leader that has not answered for this time, as `SessionClient` does. */
const MAX_SILENCE_MS = 950;

const SURGE_MS = 8000;
const AFTER_MS = 10_000;

/** Quotas exceed the usual rates of their teams by this factor. */
const QUOTA_FACTOR = 1.8;

export const FLEET_TOLERANCE: QuotaTolerance = {windowMs: 8000, overshoot: 0.1, slack: 72_000};

/** Kinds of requests: all teams' requests per second, their tokens and the latency objective of their route. */
const KINDS = [
	{perSecond: 125, cost: 715, objectiveMs: 1006},
	{perSecond: 24.7, cost: 650, objectiveMs: 5006},
	{perSecond: 2.19, cost: 9400, objectiveMs: 1515},
];
const TOKENS_PER_SECOND = KINDS.reduce((sum, {perSecond, cost}) => sum + (perSecond * cost), 0);

/** Shares of the teams in the traffic: the largest sends 16 times as much as the smallest. */
const HARMONIC = Array.from({length: TEAMS}, (_, index) => 1 / (index + 1));
const HARMONIC_SUM = HARMONIC.reduce((sum, part) => sum + part, 0);

const newTeams = (): SimulatedTeam[] => HARMONIC.map((part, index) => {
	const usualShare = part / HARMONIC_SUM;
	const perSecond = usualShare * TOKENS_PER_SECOND * QUOTA_FACTOR;
	return {
		name: `team-${index}`, usualShare, level: perSecond, uses: [], quota: {
			unit: QUOTA_UNIT.Token, perSecond, burst: perSecond, plainTokens: 1,
		},
	};
});

const newCounts = (): PhaseCounts => ({
	sent: 0, exceeded: 0, exceededBelow: 0, unknown: 0, unknownBelow: 0,
});

const getMaxUsed = (uses: SimulatedTeam['uses'], windowMs: number): number => {
	let most = 0;
	let sum = 0;
	let first = 0;
	for (const {at, cost} of uses) {
		sum += cost;
		while (uses[first].at <= at - windowMs) {
			sum -= uses[first].cost;
			first += 1;
		}

		most = Math.max(most, sum);
	}

	return most;
};

/** Real quota gates and registries of 28 gateways and one leader in virtual time, with the traffic of 16 teams of different sizes. */
class QuotaFleet {
	readonly counts: Record<Phase, PhaseCounts> = {calm: newCounts(), silent: newCounts(), after: newCounts()};
	readonly teams = newTeams();
	readonly #options: FleetOptions;
	readonly #random: RandomGenerator;
	readonly #time = new VirtualTime();
	readonly #clock = {now: () => this.#time.now, wallNow: () => this.#time.now};
	readonly #table: ReturnType<ConstructorParameters<typeof QuotaGate>[0]['getTable']>;
	readonly #gateways: SimulatedGateway[];
	readonly #requests = new Map<string, ArrivedRequest>();
	#leader: QuotaRegistry;
	#term = 1;
	#requestCount = 0;

	constructor(options: FleetOptions) {
		this.#options = options;
		this.#random = xoroshiro128plus(options.seed);
		const table: Readonly<Record<string, unknown>> = {teams: new Map(this.teams.map(({name, quota}) => [name, {name, quota}]))};
		this.#table = table as never;
		this.#leader = this.#newLeader();
		this.#gateways = Array.from({length: GATEWAYS}, (_, index) => this.#newGateway(index * STEP_MS));
	}

	play(): void {
		const {silence: {from, durationMs}, restarts = 0} = this.#options;
		const endsAt = from + durationMs;
		let hasRestarted = false;
		for (let now = 0; now < endsAt + AFTER_MS; now += STEP_MS) {
			const isSilent = now >= from && now < endsAt;
			if (now === Math.ceil(endsAt / STEP_MS) * STEP_MS) {
				this.#term += 1;
				this.#leader = this.#newLeader();
			}

			if (isSilent && !hasRestarted && now >= from + (durationMs / 2)) {
				hasRestarted = true;
				for (let index = 0; index < restarts; index += 1) {
					this.#gateways[index] = this.#newGateway(now);
				}
			}

			this.#report(now, isSilent);
			this.#sendRequests(now, now < from ? 'calm' : (isSilent ? 'silent' : 'after'));
			this.#time.advance(STEP_MS);
		}
	}

	#newLeader(): QuotaRegistry {
		const quotas = new Map(this.teams.map(({name, quota}) => [name, quota]));
		const registry = new QuotaRegistry({
			voter: {node: {term: this.#term, isCurrentLeader: true}}, getQuotas: () => quotas,
			tolerance: FLEET_TOLERANCE, waitingReserveShare: SMALL_WAITING_RESERVE_SHARE, areTermsCounted: true, areRatesLent: true, clock: this.#clock,
			timers: newVirtualTimers(this.#time),
		});
		registry.start();
		return registry;
	}

	#newGateway(startsAt: number): SimulatedGateway {
		const timers = newVirtualTimers(this.#time);
		const gateway: SimulatedGateway = {
			gate: undefined as never, timers, session: 0, isFirst: true, isDue: false, nextReportAt: startsAt, heardAt: startsAt,
		};
		gateway.gate = new QuotaGate({
			clock: this.#clock,
			suspensions: {resumedAt: Number.NEGATIVE_INFINITY, lostMs: 0},
			timers,
			logger: pino({level: 'silent'}),
			random: () => 0,
			getTable: () => this.#table,
			onAdmitted: request => {
				const {team, cost} = this.#requests.get(request.id)!;
				team.uses.push({at: this.#time.now, cost});
				request.dispatchedAt = this.#time.now;
				this.#requests.delete(request.id);
			},
			onRefused: ({id}, code) => {
				this.#countRefusal(this.#requests.get(id)!, code);
				this.#requests.delete(id);
			},
			onNeed() {
				gateway.isDue = true;
			},
			isReserveUsed: this.#options.hasReserve,
		});
		return gateway;
	}

	#countRefusal({phase, isBelow}: ArrivedRequest, code: ResultCodeValue): void {
		const counts = this.counts[phase];
		if (code === RESULT_CODE.QuotaExceeded) {
			counts.exceeded += 1;
			counts.exceededBelow += isBelow ? 1 : 0;
		} else {
			counts.unknown += 1;
			counts.unknownBelow += isBelow ? 1 : 0;
		}
	}

	#report(now: number, isSilent: boolean): void {
		for (const [index, gateway] of this.#gateways.entries()) {
			if (now - gateway.heardAt > MAX_SILENCE_MS && !gateway.isFirst) {
				gateway.isFirst = true;
				gateway.nextReportAt = now;
			}

			if (now < gateway.nextReportAt && !gateway.isDue) {
				continue;
			}

			// A gateway without a session has nobody to report to.
			if (gateway.isFirst && isSilent) {
				continue;
			}

			gateway.isDue = false;
			gateway.nextReportAt = now + HEARTBEAT_MS;
			if (gateway.isFirst) {
				gateway.session += 1;
				gateway.heardAt = now;
			}

			const usages = gateway.gate.getReport(gateway.isFirst).map(usage => encodeQuotaUsage(usage));
			gateway.isFirst = false;
			if (isSilent) {
				continue;
			}

			const leader = this.#leader;
			this.#time.after(LINK_MS, () => {
				const id = `${index}#${gateway.session}`;
				const grant = leader.newGrant(id, leader.note(id, usages));
				this.#time.after(LINK_MS, () => {
					gateway.heardAt = this.#time.now;
					gateway.gate.handleUpdate({...grant!, reportedAt: now});
				});
			});
		}
	}

	#sendRequests(now: number, phase: Phase): void {
		const {silence: {from}, surge, surgingTeam} = this.#options;
		for (const [index, team] of this.teams.entries()) {
			team.level = Math.min(team.quota.burst, team.level + (team.quota.perSecond * STEP_MS / MS_PER_SECOND));
			const factor = index === surgingTeam && now >= from && now < from + SURGE_MS ? surge : 1;
			for (const {perSecond, cost, objectiveMs} of KINDS) {
				const expected = perSecond * team.usualShare * factor * STEP_MS / MS_PER_SECOND;
				const count = Math.floor(expected) + (uniformFloat64(this.#random) < expected % 1 ? 1 : 0);
				for (let sent = 0; sent < count; sent += 1) {
					this.#sendRequest(team, {cost, objectiveMs, phase});
				}
			}
		}
	}

	#sendRequest(team: SimulatedTeam, {cost, objectiveMs, phase}: {readonly cost: number; readonly objectiveMs: number; readonly phase: Phase}): void {
		const {now} = this.#time;
		const isBelow = team.level >= cost;
		team.level -= isBelow ? cost : 0;
		this.#requestCount += 1;
		const id = String(this.#requestCount);
		this.#requests.set(id, {
			id, team, cost, phase, isBelow,
		});
		this.counts[phase].sent += 1;
		const request = {
			id, caller: {team, rank: 0, cost}, head: {id}, route: {objectiveMs}, arrivedAt: now, deadlineAt: now + (objectiveMs * 4), dispatchedAt: undefined,
		};
		this.#gateways[uniformInt(this.#random, 0, GATEWAYS - 1)].gate.arrive(request as unknown as GatewayRequest);
	}
}

/** Simulates the traffic of one run. */
export const simulateQuotaFleet = (options: FleetOptions): FleetResult => {
	const fleet = new QuotaFleet(options);
	fleet.play();
	const {windowMs, overshoot, slack} = FLEET_TOLERANCE;
	return {
		counts: fleet.counts,
		maxBoundShare: Math.max(...fleet.teams.map(({uses, quota: {perSecond, burst}}) => {
			const bound = ((burst + (perSecond * windowMs / MS_PER_SECOND)) * (1 + overshoot)) + slack;
			return getMaxUsed(uses, windowMs) / bound;
		})),
	};
};
