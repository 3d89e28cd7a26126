import type {SendLimit} from '@valelead/admission';
import type {Clock, SuspensionWatch, TimerService} from '@valelead/common';
import type {QuotaGrant} from '@valelead/protocol';
import {
	type SubjectUsage, LOAN_MS, getAvailableUnits, mutateGrantedLoans, mutateDemand, mutateReservedUnits, mutateNewSession, mutateSettledReservation, mutateSubjectReport, newQuotaStock,
} from '@valelead/quota';
import type {Logger} from 'pino';
import type {LimitExchange} from '../follower/limit-exchange.js';
import {RateLimitTable} from './rate-limit-table.js';
import {getLoanRate} from './get-loan-rate.js';
import {mutateLoanRate} from './mutate-loan-rate.js';
import type {LoanRate} from './loan-rate.js';

type LimitsParts = {
	readonly clock: Clock;
	/** Provides the time of the last resumption of the process and the total duration of its suspensions. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Returns a uniformly distributed number in [0, 1). */
	readonly random: () => number;
	/** Returns the number of waiting requests that could be sent to an upstream. */
	readonly getWaiting: (upstreamId: string) => number;
	/** Called when a limit must be reported to the leader, or a loan requested, immediately. */
	readonly onNeed: () => void;
	/** Called when the number of requests that may be sent has changed. */
	readonly onChange: () => void;
};

/** Units of an upstream's limit that one request uses. */
const REQUEST_COST = 1;

/** The most requests for which loans are requested at once, as other gateways may have as many requests waiting. */
const MAX_REQUESTED_LOANS = 4;

/** The time after which a loan is requested again if the leader has not answered, in milliseconds. */
const LEADER_TIMEOUT_MS = 500;

/** The shortest time between two requests for loans, in milliseconds. It also applies after a successful loan, which may not have been of use. */
const MIN_REQUEST_INTERVAL_MS = 50;

/** The longest time without a new request for loans after the leader had none left, in milliseconds: other gateways may return unused loans. */
const MAX_EXHAUSTED_MS = 1000;

const TICK_MS = 50;

/**
 * Enforces the rate limits that upstreams state in their responses. A limit applies to all gateways together: the leader distributes it to all of
 * them and lends each the number of requests that it may send. Without a loan, no request is sent to an upstream with a limit.
 */
export class UpstreamRateLimiter implements LimitExchange {
	readonly #parts: LimitsParts;
	readonly #known: RateLimitTable;
	readonly #stock = newQuotaStock();
	/** The time before which no loan is requested, by upstream, because a request is pending or the leader had no loans left. */
	readonly #nextRequestAt = new Map<string, number>();
	readonly #rates = new Map<string, LoanRate>();

	constructor(parts: LimitsParts) {
		this.#parts = parts;
		this.#known = new RateLimitTable({
			clock: parts.clock,
			logger: parts.logger,
			onAdded: upstreamId => {
				// A loan in stock is used without asking the leader, and the response to that request shows whether the limit has ended.
				mutateDemand(this.#stock, upstreamId, REQUEST_COST, this.#now);
				parts.onChange();
			},
			onReportDue: parts.onNeed,
		});
		parts.timers.repeat(TICK_MS, () => {
			this.noteWaiting();
		});
	}

	get count(): number {
		return this.#known.count;
	}

	/** Returns the limits of all upstreams that have one: the requests that may be sent now, and the expected rate in requests per second. */
	getSendLimits(): ReadonlyMap<string, SendLimit> {
		const now = this.#now;
		return new Map(this.#known.upstreamIds.map(upstreamId => [upstreamId, {
			sends: getAvailableUnits(this.#stock, upstreamId, now), perSecond: Math.min(this.#known.getPerSecond(upstreamId)!, this.#getLoanRate(upstreamId)),
		}]));
	}

	/** Uses up one loan for a request that is sent. */
	noteSent(upstreamId: string): void {
		if (!this.#known.has(upstreamId)) {
			return;
		}

		mutateDemand(this.#stock, upstreamId, REQUEST_COST, this.#now);
		const reservation = mutateReservedUnits(this.#stock, upstreamId, REQUEST_COST, this.#now);
		if (reservation) {
			mutateSettledReservation(reservation, true);
		}
	}

	/**
	 * Records the limit that a response states.
	 * @param perSecond - The limit in requests per second; undefined if the response states none.
	 * @param startedAt - When the request of this response was sent, in monotonic milliseconds.
	 */
	noteAnswer(upstreamId: string, perSecond: number | undefined, startedAt: number): void {
		this.#known.noteAnswer(upstreamId, perSecond, startedAt);
	}

	/** Requests loans for waiting requests from the leader, unless a request is pending or the leader recently had no loans left. */
	noteWaiting(): void {
		if (this.#known.count === 0) {
			return;
		}

		const now = this.#now;
		if (this.#known.upstreamIds.some(upstreamId => this.#getNeedCount(upstreamId, now) > 0)) {
			this.#parts.onNeed();
		}
	}

	/** Removes upstreams that have left the directory. */
	retain(upstreamIds: ReadonlySet<string>): void {
		this.#known.retain(upstreamIds);
		for (const id of this.#rates.keys()) {
			if (!upstreamIds.has(id)) {
				this.#nextRequestAt.delete(id);
				this.#rates.delete(id);
			}
		}
	}

	getReport(sentAt: number, isFirst: boolean): ReturnType<LimitExchange['getReport']> {
		if (isFirst) {
			mutateNewSession(this.#stock);
			this.#nextRequestAt.clear();
			this.#known.markAllUnreported();
		}

		const now = this.#now;
		const subjects = new Set([...this.#known.upstreamIds, ...this.#stock.current.subjects.keys()]);
		const usages = [...subjects].flatMap(upstreamId => this.#newUsage(upstreamId, now) ?? []);
		return {sightings: this.#known.takeUnreported(sentAt), usages};
	}

	/** Applies limits and loans. Loans requested before a suspension of this process are ignored, as the length of the suspension is unknown. */
	handleUpdate({limits, grant, reportedAt}: Parameters<LimitExchange['handleUpdate']>[0]): void {
		if (limits && this.#known.applyList(limits, reportedAt)) {
			this.#nextRequestAt.clear();
			this.#known.markAllUnreported();
			this.#parts.onNeed();
		}

		if (grant && this.#parts.suspensions.resumedAt < reportedAt) {
			this.#takeGrant(grant, reportedAt);
		}

		if (limits ?? grant?.loans.length) {
			this.#parts.onChange();
		}
	}

	/** The current time on a clock that also advances while the process is suspended, in milliseconds. */
	get #now(): number {
		return this.#parts.clock.now() + this.#parts.suspensions.lostMs;
	}

	#getLoanRate(upstreamId: string): number {
		const rate = this.#rates.get(upstreamId);
		return (rate && getLoanRate(rate, this.#now)) ?? Number.POSITIVE_INFINITY;
	}

	#getNeedCount(upstreamId: string, now: number): number {
		if (now < (this.#nextRequestAt.get(upstreamId) ?? 0)) {
			return 0;
		}

		return Math.min(MAX_REQUESTED_LOANS, this.#parts.getWaiting(upstreamId) - getAvailableUnits(this.#stock, upstreamId, now));
	}

	#newUsage(upstreamId: string, now: number): SubjectUsage | undefined {
		const count = this.#known.has(upstreamId) ? Math.max(0, this.#getNeedCount(upstreamId, now)) : 0;
		if (count > 0) {
			this.#nextRequestAt.set(upstreamId, now + LEADER_TIMEOUT_MS);
		}

		return mutateSubjectReport(this.#stock, upstreamId, Array.from({length: count}, () => REQUEST_COST), now);
	}

	#takeGrant({term, loans, scarceSubjects}: QuotaGrant, reportedAt: number): void {
		mutateGrantedLoans(this.#stock, {
			term, loans, scarceSubjects, validUntil: reportedAt + this.#parts.suspensions.lostMs + LOAN_MS,
		}, this.#now);
		for (const {subject, amount, waitMs} of loans) {
			this.#noteLoan(subject, {amount, isShort: waitMs > 0});
			// The delay is random, so that gateways without a loan do not all ask again at the same moment.
			const delayMs = Math.max(MIN_REQUEST_INTERVAL_MS, Math.min(MAX_EXHAUSTED_MS, waitMs)) * (1 + this.#parts.random());
			this.#nextRequestAt.set(subject, this.#now + delayMs);
		}
	}

	#noteLoan(upstreamId: string, answer: Parameters<typeof mutateLoanRate>[1]): void {
		const rate = this.#rates.get(upstreamId) ?? {shortSince: undefined, answeredAt: this.#now, loans: []};
		this.#rates.set(upstreamId, rate);
		mutateLoanRate(rate, answer, this.#now);
	}
}
