import {
	type Clock, type ResultCodeValue, type SuspensionWatch, type TimerService, OUTCOME, type OutcomeValue, RESULT_CODE,
} from '@valelead/common';
import {
	type Loan, type QuotaStock, type Reservation, type SubjectUsage, LARGE_STOCK_POLICY, LOAN_MS, RATE_LOAN_MS, mutateGrantedLoans, mutateDemand,
	mutateReservedUnits, mutateNewSession, mutateSettledReservation,
	mutateSubjectReport, newQuotaStock,
} from '@valelead/quota';
import type {RouteTable} from '@valelead/routing';
import type {Logger} from 'pino';
import type {QuotaExchange} from '../follower/quota-exchange.js';
import type {GatewayRequest} from './gateway-request.js';

type GateParts = {
	readonly clock: Clock;
	/** Provides the time of the last resumption of the process and the total duration of its suspensions. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Returns a uniformly distributed number in [0, 1). */
	readonly random: () => number;
	readonly getTable: () => RouteTable | undefined;
	/** Called for each request that its team's quota allows. */
	readonly onAdmitted: (request: GatewayRequest) => void;
	readonly onRefused: (request: GatewayRequest, code: ResultCodeValue, retryAfterMs: number) => void;
	/** True if the gateway keeps large stocks, so that requests need not wait for the leader while it does not answer. */
	readonly isReserveUsed: boolean;
	/** Called when quota must be requested from the leader immediately. */
	readonly onNeed: () => void;
};

/** A request that waits until the leader lends this gateway quota for it. */
type WaitingRequest = {
	readonly request: GatewayRequest;
	/** How long the request waits for its need to be reported, and then for the leader's answer, in milliseconds. */
	readonly maxWaitMs: number;
	/** When the request is refused if its need has not been reported, or the leader has not answered, in monotonic milliseconds. */
	waitsUntil: number;
	/** True once the request's need of quota has been reported to the present leader. */
	isReported: boolean;
	/** When the need was first reported to a leader, in monotonic milliseconds; undefined before. */
	firstReportedAt: number | undefined;
};

type HeldRequest = {
	readonly request: GatewayRequest;
	readonly reservation: Reservation;
};

/** The longest time that a request waits for the leader's answer after it was asked, as a fraction of the route's latency objective. */
const MAX_WAIT_FRACTION = 0.5;

/** The longest time that a request waits for the leader's answer after it was asked, in milliseconds. */
const MAX_WAIT_MS = 1000;

const TICK_MS = 50;

/** A tick that is later than this shows that the process was stalled, so that an answer may not have been read yet, in milliseconds. */
const LATE_TICK_MS = 100;

/**
 * The longest time for which no quota is requested for a team that has used up its quota, in milliseconds. It is shorter if the leader expects more
 * quota earlier.
 */
const MAX_EXHAUSTED_MS = 250;

/** The shortest Retry-After time that a caller is given, in milliseconds. */
const MIN_RETRY_AFTER_MS = 100;

/** The Retry-After time if no leader answered, in milliseconds: in most cases a new leader is found by then. */
const LEADERLESS_RETRY_AFTER_MS = 500;

const getOrder = (left: WaitingRequest, right: WaitingRequest): number => (left.request.caller.rank - right.request.caller.rank) || (left.request.arrivedAt - right.request.arrivedAt);

/** Admits requests within the quotas of their teams, using the quota that the leader has lent to this gateway. */
export class QuotaGate implements QuotaExchange {
	readonly #parts: GateParts;
	readonly #stock: QuotaStock;
	/** Waiting requests by team, in the order in which they are admitted. */
	readonly #waiting = new Map<string, WaitingRequest[]>();
	/** Requests for which quota is reserved, by request id, until it is known whether they run. */
	readonly #held = new Map<string, HeldRequest>();
	/** The time until which the leader has no quota left, by team. */
	readonly #exhaustedUntil = new Map<string, number>();
	#term = -1;
	/** When the leader last answered a report, in monotonic milliseconds; undefined before its first answer. */
	#answeredAt: number | undefined;
	/** When the last tick was, in monotonic milliseconds, and whether it was late. */
	#tickedAt: number;
	#wasLate = false;

	constructor(parts: GateParts) {
		this.#parts = parts;
		this.#stock = newQuotaStock(parts.isReserveUsed ? LARGE_STOCK_POLICY : undefined);
		this.#tickedAt = parts.clock.now();
		parts.timers.repeat(TICK_MS, () => {
			this.#tick();
		});
	}

	/** Admits or refuses a request, or lets it wait while the leader is asked for more quota. */
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

		const exhaustedMs = (this.#exhaustedUntil.get(team.name) ?? 0) - this.#now;
		if (exhaustedMs > 0) {
			this.#refuseOverQuota(request, exhaustedMs);
			return;
		}

		this.#wait(request);
	}

	/** Settles the reservation of a request that has ended: its quota is returned if the request did not run, and used otherwise. */
	end({id}: GatewayRequest, outcome: OutcomeValue): void {
		const held = this.#held.get(id);
		if (held) {
			this.#held.delete(id);
			mutateSettledReservation(held.reservation, outcome !== OUTCOME.NotRun);
		}
	}

	/** Removes a request from those that wait for quota; returns true if it was waiting. */
	forget({id, caller}: GatewayRequest): boolean {
		const queue = this.#waiting.get(caller.team?.name ?? '') ?? [];
		const position = queue.findIndex(({request}) => request.id === id);
		if (position === -1) {
			return false;
		}

		queue.splice(position, 1);
		return true;
	}

	/** Refuses all requests that wait for quota. */
	refuseAll(code: ResultCodeValue): void {
		for (const queue of this.#waiting.values()) {
			for (const {request} of queue.splice(0)) {
				this.#parts.onRefused(request, code, 0);
			}
		}
	}

	getReport(isFirst: boolean): SubjectUsage[] {
		if (isFirst) {
			mutateNewSession(this.#stock);
			this.#requestAgain();
		}

		this.#settleSent();
		const usages: SubjectUsage[] = [];
		for (const {name, quota} of this.#parts.getTable()?.teams.values() ?? []) {
			const usage = quota && mutateSubjectReport(this.#stock, name, this.#takeNeeds(name), this.#now);
			usages.push(...(usage ? [usage] : []));
		}

		return usages;
	}

	/** Applies the leader's loans. Loans requested before a suspension of this process are ignored, as the length of the suspension is unknown. */
	handleUpdate({
		term, loans, scarceSubjects, areRatesConfirmed, reportedAt,
	}: Parameters<QuotaExchange['handleUpdate']>[0]): void {
		const {suspensions} = this.#parts;
		this.#answeredAt = this.#parts.clock.now();
		if (suspensions.resumedAt >= reportedAt) {
			return;
		}

		mutateGrantedLoans(this.#stock, {
			term, loans, scarceSubjects, validUntil: reportedAt + suspensions.lostMs + LOAN_MS,
			...(areRatesConfirmed && {ratesValidUntil: reportedAt + suspensions.lostMs + RATE_LOAN_MS}),
		}, this.#now);
		if (term !== this.#term) {
			this.#term = term;
			this.#requestAgain();
		}

		for (const loan of loans) {
			this.#takeLoan(loan);
		}
	}

	/** The current time on a clock that also advances while the process is suspended, in milliseconds. */
	get #now(): number {
		return this.#parts.clock.now() + this.#parts.suspensions.lostMs;
	}

	#admit(request: GatewayRequest): boolean {
		const {team, cost} = request.caller;
		const reservation = mutateReservedUnits(this.#stock, team!.name, cost, this.#now);
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
		const maxWaitMs = Math.min(MAX_WAIT_MS, route.objectiveMs * MAX_WAIT_FRACTION);
		const queue = this.#waiting.get(name) ?? [];
		const waitsUntil = Math.min(deadlineAt, this.#parts.clock.now() + maxWaitMs);
		const waiting = {
			request, maxWaitMs, waitsUntil, isReported: false, firstReportedAt: undefined,
		};
		this.#waiting.set(name, [...queue, waiting].sort(getOrder));
		this.#parts.onNeed();
	}

	/** Marks the quota of requests that have been dispatched as used, whatever their outcome. */
	#settleSent(): void {
		for (const [id, {request, reservation}] of this.#held) {
			if (request.dispatchedAt !== undefined) {
				this.#held.delete(id);
				mutateSettledReservation(reservation, true);
			}
		}
	}

	/**
	 * Returns the costs of the waiting requests that the leader does not know of, and marks the requests as reported. The wait for the leader's answer
	 * begins here and not at the arrival: a burst of arrivals delays the report by 100 ms and more on a busy machine, which is no silence of the leader.
	 */
	#takeNeeds(team: string): number[] {
		const now = this.#parts.clock.now();
		const unreported = (this.#waiting.get(team) ?? []).filter(({isReported}) => !isReported);
		for (const waiting of unreported) {
			waiting.isReported = true;
			if (waiting.firstReportedAt === undefined) {
				waiting.firstReportedAt = now;
				waiting.waitsUntil = Math.min(waiting.request.deadlineAt, now + waiting.maxWaitMs);
			}
		}

		return unreported.map(({request}) => request.caller.cost);
	}

	/** Reports all waiting requests again, as a new leader or session does not know them. */
	#requestAgain(): void {
		this.#exhaustedUntil.clear();
		for (const queue of this.#waiting.values()) {
			for (const waiting of queue) {
				waiting.isReported = false;
			}
		}

		if ([...this.#waiting.values()].some(queue => queue.length > 0)) {
			this.#parts.onNeed();
		}
	}

	#takeLoan({subject: team, waitMs}: Loan): void {
		if (waitMs > 0) {
			this.#exhaustedUntil.set(team, this.#now + Math.min(waitMs, MAX_EXHAUSTED_MS));
		}

		const queue = this.#waiting.get(team) ?? [];
		const left = queue.filter(({request}) => !this.#admit(request));
		const isOverQuota = ({isReported}: WaitingRequest): boolean => isReported && waitMs > 0;
		this.#waiting.set(team, left.filter(waiting => !isOverQuota(waiting)));
		for (const {request} of left.filter(waiting => isOverQuota(waiting))) {
			this.#refuseOverQuota(request, waitMs);
		}
	}

	/** Refuses a request with a random Retry-After time, so that callers do not all retry at the same moment. */
	#refuseOverQuota(request: GatewayRequest, waitMs: number): void {
		const {caller: {team, cost}, head} = request;
		this.#parts.logger.info({
			event: 'quota-used-up', requestId: head.id, team: team!.name, cost, waitMs: Math.round(waitMs), free: Math.round(this.#stock.current.subjects.get(team!.name)?.free ?? 0), term: this.#term,
		}, 'a team has used up its quota');
		this.#parts.onRefused(request, RESULT_CODE.QuotaExceeded, Math.max(MIN_RETRY_AFTER_MS, Math.round(waitMs * (1 + this.#parts.random()))));
	}

	#refuseUnknown({request, firstReportedAt}: WaitingRequest, now: number): void {
		const {caller: {team, cost}, head, arrivedAt} = request;
		this.#parts.logger.info({
			event: 'quota-unknown',
			requestId: head.id,
			team: team!.name,
			cost,
			waitedMs: Math.round(now - arrivedAt),
			sinceReportMs: firstReportedAt === undefined ? undefined : Math.round(now - firstReportedAt),
			silentMs: this.#answeredAt === undefined ? undefined : Math.round(now - this.#answeredAt),
			isScarce: this.#stock.scarceSubjects.has(team!.name),
			term: this.#term,
		}, 'no leader answered whether the quota of a team allows a request');
		this.#parts.onRefused(request, RESULT_CODE.QuotaUnknown, LEADERLESS_RETRY_AFTER_MS);
	}

	/** Refuses overdue requests, but not at the first tick after a stall. */
	#tick(): void {
		const now = this.#parts.clock.now();
		this.#wasLate = !this.#wasLate && now - this.#tickedAt > LATE_TICK_MS;
		this.#tickedAt = now;
		if (!this.#wasLate) {
			this.#refuseOverdue();
		}
	}

	#refuseOverdue(): void {
		const now = this.#parts.clock.now();
		for (const [team, queue] of this.#waiting) {
			const overdue = queue.filter(({waitsUntil}) => now >= waitsUntil);
			if (overdue.length > 0) {
				this.#waiting.set(team, queue.filter(({waitsUntil}) => now < waitsUntil));
			}

			for (const waiting of overdue) {
				this.#refuseUnknown(waiting, now);
			}
		}
	}
}
