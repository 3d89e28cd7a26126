import {
	type Clock, type ResultCodeValue, type SuspensionWatch, type TimerService, OUTCOME, type OutcomeValue, RESULT_CODE,
} from '@valelead/common';
import {
	type Loan, type Reservation, type SubjectUsage, LOAN_MS, mutateBorrowed, mutateDemand, mutateReserved, mutateSession, mutateSettled, mutateSubjectReport, newQuotaStock,
} from '@valelead/quota';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {QuotaExchange} from '../follower/quota-exchange.js';
import type {GatewayRequest} from './gateway-request.js';

type GateParts = {
	readonly clock: Clock;
	/** Tells when the process was last suspended, and for how long in all. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	readonly getTable: () => RouteTable | undefined;
	/** Hears of requests that their teams' quotas allow. */
	readonly onAdmitted: (request: GatewayRequest) => void;
	readonly onRefused: (request: GatewayRequest, code: ResultCodeValue, retryAfterMs: number) => void;
	/** Hears that the leader must be asked at once. */
	readonly onNeed: () => void;
};

/** A request that waits for a loan. */
type WaitingRequest = {
	readonly request: GatewayRequest;
	/** When it is refused for want of an answer. */
	readonly waitsUntil: number;
	/** Whether the leader was told of it. */
	isTold: boolean;
};

type HeldRequest = {
	readonly request: GatewayRequest;
	readonly reservation: Reservation;
};

/** The longest that a request waits for the leader's word, as a share of its objective and in milliseconds. */
const WAIT_SHARE = 0.5;
const MOST_WAIT_MS = 1000;

const TICK_MS = 50;

/** The leader is not asked again for a team that has used up its quota until there is more, but after this time at the latest, in milliseconds. */
const MOST_DRY_MS = 250;

/** The least time after which a caller is asked back, in milliseconds. */
const LEAST_RETRY_MS = 100;

/** When to come back where no leader could be asked, in milliseconds: another one is found by then, mostly. */
const LEADERLESS_RETRY_MS = 500;

const isBefore = (left: WaitingRequest, right: WaitingRequest): number => (left.request.caller.rank - right.request.caller.rank) || (left.request.arrivedAt - right.request.arrivedAt);

/** Lets requests pass that their teams' quotas allow, out of what the leader has lent this gateway. */
export class QuotaGate implements QuotaExchange {
	readonly #parts: GateParts;
	readonly #stock = newQuotaStock();
	/** By team, in the order in which they are served. */
	readonly #waiting = new Map<string, WaitingRequest[]>();
	/** Requests whose units are taken, until it is known whether they run; by their own ids. */
	readonly #held = new Map<string, HeldRequest>();
	/** Until when the leader had nothing for a team. */
	readonly #dryUntil = new Map<string, number>();
	#term = -1;

	constructor(parts: GateParts) {
		this.#parts = parts;
		parts.timers.repeat(TICK_MS, () => {
			this.#refuseOverdue();
		});
	}

	/** Takes a request; passes it on, refuses it, or asks the leader for more. */
	arrive(request: GatewayRequest): void {
		const {team, cost} = request.caller;
		if (!team?.quota) {
			this.#parts.onAdmitted(request);
			return;
		}

		mutateDemand(this.#stock, team.name, cost, this.#now);
		if (this.#admit(request)) {
			return;
		}

		const dryMs = (this.#dryUntil.get(team.name) ?? 0) - this.#now;
		if (dryMs > 0) {
			this.#refuseOver(request, dryMs);
			return;
		}

		this.#wait(request);
	}

	/** Takes the end of a request, whose units are free again where it did not run. */
	end({id}: GatewayRequest, outcome: OutcomeValue): void {
		const held = this.#held.get(id);
		if (held) {
			this.#held.delete(id);
			mutateSettled(held.reservation, outcome !== OUTCOME.NotRun);
		}
	}

	/** Forgets a request that waits for a loan; returns whether it did. */
	forget({id, caller}: GatewayRequest): boolean {
		const queue = this.#waiting.get(caller.team?.name ?? '') ?? [];
		const position = queue.findIndex(({request}) => request.id === id);
		if (position === -1) {
			return false;
		}

		queue.splice(position, 1);
		return true;
	}

	/** Refuses all that wait for a loan. */
	refuseAll(code: ResultCodeValue): void {
		for (const queue of this.#waiting.values()) {
			for (const {request} of queue.splice(0)) {
				this.#parts.onRefused(request, code, 0);
			}
		}
	}

	getReport(isFirst: boolean): SubjectUsage[] {
		if (isFirst) {
			mutateSession(this.#stock);
			this.#askAgain();
		}

		this.#settleSent();
		const usages: SubjectUsage[] = [];
		for (const {name, quota} of this.#parts.getTable()?.teams.values() ?? []) {
			const usage = quota && mutateSubjectReport(this.#stock, name, this.#takeNeeds(name), this.#now);
			usages.push(...(usage ? [usage] : []));
		}

		return usages;
	}

	/** Takes loans; not those that were asked for before a suspension, as nobody knows how long ago that is. */
	take({term, loans, scarceSubjects, reportedAt}: Parameters<QuotaExchange['take']>[0]): void {
		const {suspensions} = this.#parts;
		if (suspensions.resumedAt >= reportedAt) {
			return;
		}

		mutateBorrowed(this.#stock, {
			term, loans, scarceSubjects, validUntil: reportedAt + suspensions.lostMs + LOAN_MS,
		}, this.#now);
		if (term !== this.#term) {
			this.#term = term;
			this.#askAgain();
		}

		for (const loan of loans) {
			this.#takeLoan(loan);
		}
	}

	/** A time that goes on in suspensions, in milliseconds. */
	get #now(): number {
		return this.#parts.clock.now() + this.#parts.suspensions.lostMs;
	}

	#admit(request: GatewayRequest): boolean {
		const {team, cost} = request.caller;
		const reservation = mutateReserved(this.#stock, team!.name, cost, this.#now);
		if (!reservation) {
			return false;
		}

		this.#held.set(request.id, {request, reservation});
		this.#parts.onAdmitted(request);
		return true;
	}

	#wait(request: GatewayRequest): void {
		const {caller: {team}, route, deadlineAt} = request;
		const {name} = team!;
		const patienceMs = Math.min(MOST_WAIT_MS, route.objectiveMs * WAIT_SHARE);
		const queue = this.#waiting.get(name) ?? [];
		const waiting = {request, waitsUntil: Math.min(deadlineAt, this.#parts.clock.now() + patienceMs), isTold: false};
		this.#waiting.set(name, [...queue, waiting].sort(isBefore));
		this.#parts.onNeed();
	}

	/** The units of a request that is at an upstream are used, whatever becomes of it. */
	#settleSent(): void {
		for (const [id, {request, reservation}] of this.#held) {
			if (request.dispatchedAt !== undefined) {
				this.#held.delete(id);
				mutateSettled(reservation, true);
			}
		}
	}

	/** What requests need of which the leader was not told. */
	#takeNeeds(team: string): number[] {
		const untold = (this.#waiting.get(team) ?? []).filter(({isTold}) => !isTold);
		for (const waiting of untold) {
			waiting.isTold = true;
		}

		return untold.map(({request}) => request.caller.cost);
	}

	/** Another leader, or a new session, knows nothing of what waits here. */
	#askAgain(): void {
		this.#dryUntil.clear();
		for (const queue of this.#waiting.values()) {
			for (const waiting of queue) {
				waiting.isTold = false;
			}
		}

		if ([...this.#waiting.values()].some(queue => queue.length > 0)) {
			this.#parts.onNeed();
		}
	}

	#takeLoan({subject: team, waitMs}: Loan): void {
		if (waitMs > 0) {
			this.#dryUntil.set(team, this.#now + Math.min(waitMs, MOST_DRY_MS));
		}

		const queue = this.#waiting.get(team) ?? [];
		const left = queue.filter(({request}) => !this.#admit(request));
		const isOver = ({isTold}: WaitingRequest): boolean => isTold && waitMs > 0;
		this.#waiting.set(team, left.filter(waiting => !isOver(waiting)));
		for (const {request} of left.filter(waiting => isOver(waiting))) {
			this.#refuseOver(request, waitMs);
		}
	}

	/** Callers are spread, so that they do not come back together. */
	#refuseOver(request: GatewayRequest, waitMs: number): void {
		const {caller: {team, cost}, head} = request;
		this.#parts.logger.info({
			event: 'quota-used-up', requestId: head.id, team: team!.name, cost, waitMs: Math.round(waitMs), free: Math.round(this.#stock.current.subjects.get(team!.name)?.free ?? 0), term: this.#term,
		}, 'a team has used up its quota');
		this.#parts.onRefused(request, RESULT_CODE.QuotaExceeded, Math.max(LEAST_RETRY_MS, Math.round(waitMs * (1 + this.#parts.random()))));
	}

	#refuseOverdue(): void {
		const now = this.#parts.clock.now();
		for (const [team, queue] of this.#waiting) {
			const overdue = queue.filter(({waitsUntil}) => now >= waitsUntil);
			if (overdue.length > 0) {
				this.#waiting.set(team, queue.filter(({waitsUntil}) => now < waitsUntil));
			}

			for (const {request} of overdue) {
				this.#parts.onRefused(request, RESULT_CODE.QuotaUnknown, LEADERLESS_RETRY_MS);
			}
		}
	}
}
