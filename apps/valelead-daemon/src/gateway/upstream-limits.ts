import type {SendLimit} from '@valelead/admission';
import type {Clock, SuspensionWatch, TimerService} from '@valelead/common';
import type {QuotaGrant} from '@valelead/protocol';
import {
	type SubjectUsage, LOAN_MS, getStockAmount, mutateBorrowed, mutateDemand, mutateReserved, mutateSession, mutateSettled, mutateSubjectReport, newQuotaStock,
} from '@valelead/quota';
import type {Logger} from 'pino';
import type {LimitExchange} from '../follower/limit-exchange.js';
import {RateLimitTable} from './rate-limit-table.js';
import {getLoanRate} from './get-loan-rate.js';
import {mutateLoanRate} from './mutate-loan-rate.js';
import type {LoanRate} from './loan-rate.js';

type LimitsParts = {
	readonly clock: Clock;
	/** Tells when the process was last suspended, and for how long in all. */
	readonly suspensions: Pick<SuspensionWatch, 'resumedAt' | 'lostMs'>;
	readonly timers: TimerService;
	readonly logger: Logger;
	/** Uniform in [0, 1). */
	readonly random: () => number;
	/** Requests that wait and could be sent to an upstream. */
	readonly getWaiting: (upstreamId: string) => number;
	/** Hears that the leader must be told at once. */
	readonly onNeed: () => void;
	/** Hears that more or fewer requests may be sent. */
	readonly onChange: () => void;
};

/** A request counts as one unit. */
const REQUEST_COST = 1;

/** The most requests that are asked for at once: others may have as many waiting. */
const MOST_NEEDS = 4;

/** The leader is asked again where it did not answer within this time, in milliseconds. */
const ANSWER_MS = 500;

/** The least time between two requests for loans, in milliseconds: what was lent may not have been of use. */
const ASK_GAP_MS = 50;

/** The longest time for which an upstream is not asked for once the leader had nothing, in milliseconds: others may give back what they got. */
const MOST_DRY_MS = 1000;

const TICK_MS = 50;

/**
 * Keeps to the limits that upstreams name in their answers. A limit holds for all gateways together: the leader tells it to all, and lends the requests that may be
 * sent. Without a loan nothing is sent to such an upstream.
 */
export class UpstreamLimits implements LimitExchange {
	readonly #parts: LimitsParts;
	readonly #known: RateLimitTable;
	readonly #stock = newQuotaStock();
	/** Until when nothing is asked for, by upstream: the leader has been asked, or had nothing. */
	readonly #quietUntil = new Map<string, number>();
	readonly #rates = new Map<string, LoanRate>();

	constructor(parts: LimitsParts) {
		this.#parts = parts;
		this.#known = new RateLimitTable({
			clock: parts.clock,
			logger: parts.logger,
			onAdded: upstreamId => {
				// A request in hand is used without a question to the leader, and its answer tells whether the limit has ended.
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

	/** The upstreams that limit their requests. */
	getSendLimits(): ReadonlyMap<string, SendLimit> {
		const now = this.#now;
		return new Map(this.#known.upstreamIds.map(upstreamId => [upstreamId, {
			sends: getStockAmount(this.#stock, upstreamId, now), perSecond: Math.min(this.#known.getPerSecond(upstreamId)!, this.#getLoanRate(upstreamId)),
		}]));
	}

	/** Takes that a request is sent. */
	noteSent(upstreamId: string): void {
		if (!this.#known.has(upstreamId)) {
			return;
		}

		mutateDemand(this.#stock, upstreamId, REQUEST_COST, this.#now);
		const reservation = mutateReserved(this.#stock, upstreamId, REQUEST_COST, this.#now);
		if (reservation) {
			mutateSettled(reservation, true);
		}
	}

	/**
	 * Takes what an answer says.
	 * @param perSecond - The limit that it names; undefined where it names none.
	 * @param startedAt - When the answered request was sent, in monotonic milliseconds.
	 */
	noteAnswer(upstreamId: string, perSecond: number | undefined, startedAt: number): void {
		this.#known.noteAnswer(upstreamId, perSecond, startedAt);
	}

	/** Asks the leader for what requests wait for, unless it was asked or had nothing. */
	noteWaiting(): void {
		if (this.#known.count === 0) {
			return;
		}

		const now = this.#now;
		if (this.#known.upstreamIds.some(upstreamId => this.#getNeedCount(upstreamId, now) > 0)) {
			this.#parts.onNeed();
		}
	}

	/** Forgets upstreams that are gone. */
	retain(upstreamIds: ReadonlySet<string>): void {
		this.#known.retain(upstreamIds);
		for (const id of this.#rates.keys()) {
			if (!upstreamIds.has(id)) {
				this.#quietUntil.delete(id);
				this.#rates.delete(id);
			}
		}
	}

	getReport(sentAt: number, isFirst: boolean): ReturnType<LimitExchange['getReport']> {
		if (isFirst) {
			mutateSession(this.#stock);
			this.#quietUntil.clear();
			this.#known.markAllUnreported();
		}

		const now = this.#now;
		const subjects = new Set([...this.#known.upstreamIds, ...this.#stock.current.subjects.keys()]);
		const usages = [...subjects].flatMap(upstreamId => this.#newUsage(upstreamId, now) ?? []);
		return {sightings: this.#known.takeSightings(sentAt), usages};
	}

	/** Takes limits and loans; no loans that were asked for before a suspension, as nobody knows how long ago that is. */
	take({limits, grant, reportedAt}: Parameters<LimitExchange['take']>[0]): void {
		if (limits && this.#known.takeList(limits, reportedAt)) {
			this.#quietUntil.clear();
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

	/** A time that goes on in suspensions, in milliseconds. */
	get #now(): number {
		return this.#parts.clock.now() + this.#parts.suspensions.lostMs;
	}

	#getLoanRate(upstreamId: string): number {
		const rate = this.#rates.get(upstreamId);
		return (rate && getLoanRate(rate, this.#now)) ?? Number.POSITIVE_INFINITY;
	}

	#getNeedCount(upstreamId: string, now: number): number {
		if (now < (this.#quietUntil.get(upstreamId) ?? 0)) {
			return 0;
		}

		return Math.min(MOST_NEEDS, this.#parts.getWaiting(upstreamId) - getStockAmount(this.#stock, upstreamId, now));
	}

	#newUsage(upstreamId: string, now: number): SubjectUsage | undefined {
		const count = this.#known.has(upstreamId) ? Math.max(0, this.#getNeedCount(upstreamId, now)) : 0;
		if (count > 0) {
			this.#quietUntil.set(upstreamId, now + ANSWER_MS);
		}

		return mutateSubjectReport(this.#stock, upstreamId, Array.from({length: count}, () => REQUEST_COST), now);
	}

	#takeGrant({term, loans, scarceSubjects}: QuotaGrant, reportedAt: number): void {
		mutateBorrowed(this.#stock, {
			term, loans, scarceSubjects, validUntil: reportedAt + this.#parts.suspensions.lostMs + LOAN_MS,
		}, this.#now);
		for (const {subject, amount, waitMs} of loans) {
			this.#noteLoan(subject, {amount, isShort: waitMs > 0});
			// Those who ask in vain are spread, so that they do not all ask again at once.
			const quietMs = Math.max(ASK_GAP_MS, Math.min(MOST_DRY_MS, waitMs)) * (1 + this.#parts.random());
			this.#quietUntil.set(subject, this.#now + quietMs);
		}
	}

	#noteLoan(upstreamId: string, answer: Parameters<typeof mutateLoanRate>[1]): void {
		const rate = this.#rates.get(upstreamId) ?? {shortSince: undefined, answeredAt: this.#now, loans: []};
		this.#rates.set(upstreamId, rate);
		mutateLoanRate(rate, answer, this.#now);
	}
}
