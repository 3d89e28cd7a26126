import type {SendLimit} from '@valelead/admission';
import type {Clock, SuspensionWatch, TimerService} from '@valelead/common';
import type {QuotaGrant, UpstreamLimits as LimitList} from '@valelead/protocol';
import {
	type LimitSighting, type SubjectUsage, LOAN_MS, getStockAmount, mutateBorrowed, mutateDemand, mutateReserved, mutateSession, mutateSettled, mutateSubjectReport, newQuotaStock,
} from '@valelead/quota';
import type {Logger} from 'pino';
import type {LimitExchange} from '../follower/limit-exchange.js';
import {getLoanRate} from './get-loan-rate.js';
import {mutateLoanRate} from './mutate-loan-rate.js';
import type {KnownLimit} from './known-limit.js';
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

/** An upstream that is not in the directory so long after its limit was heard of is gone, in milliseconds. */
const FORGET_MS = 10_000;

const TICK_MS = 50;

/**
 * Keeps to the limits that upstreams name in their answers. A limit holds for all gateways together: the leader tells it to all, and lends the requests that may be
 * sent. Without a loan nothing is sent to such an upstream.
 */
export class UpstreamLimits implements LimitExchange {
	readonly #parts: LimitsParts;
	readonly #known = new Map<string, KnownLimit>();
	readonly #stock = newQuotaStock();
	/** Until when nothing is asked for, by upstream: the leader has been asked, or had nothing. */
	readonly #quietUntil = new Map<string, number>();
	readonly #rates = new Map<string, LoanRate>();
	#term = -1;

	constructor(parts: LimitsParts) {
		this.#parts = parts;
		parts.timers.repeat(TICK_MS, () => {
			this.noteWaiting();
		});
	}

	get count(): number {
		return this.#known.size;
	}

	isLimited(upstreamId: string): boolean {
		return this.#known.has(upstreamId);
	}

	/** The upstreams that limit their requests. */
	getSendLimits(): ReadonlyMap<string, SendLimit> {
		const now = this.#now;
		return new Map([...this.#known].map(([upstreamId, {perSecond}]) => [upstreamId, {
			sends: getStockAmount(this.#stock, upstreamId, now), perSecond: Math.min(perSecond, this.#getLoanRate(upstreamId)),
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
		const known = this.#known.get(upstreamId);
		if (known) {
			this.#noteSeen(upstreamId, known, perSecond, startedAt);
			return;
		}

		if (perSecond !== undefined) {
			this.#add(upstreamId, perSecond, undefined);
			this.#parts.onNeed();
			this.#parts.onChange();
		}
	}

	/** Asks the leader for what requests wait for, unless it was asked or had nothing. */
	noteWaiting(): void {
		if (this.#known.size === 0) {
			return;
		}

		const now = this.#now;
		if ([...this.#known.keys()].some(upstreamId => this.#getNeedCount(upstreamId, now) > 0)) {
			this.#parts.onNeed();
		}
	}

	/** Forgets upstreams that are gone. A new leader may tell of one before that has announced itself there. */
	retain(upstreamIds: ReadonlySet<string>): void {
		const now = this.#parts.clock.now();
		for (const [id, {knownAt}] of this.#known) {
			if (!upstreamIds.has(id) && now - knownAt > FORGET_MS) {
				this.#known.delete(id);
				this.#quietUntil.delete(id);
				this.#rates.delete(id);
			}
		}
	}

	getReport(sentAt: number, isFirst: boolean): ReturnType<LimitExchange['getReport']> {
		if (isFirst) {
			mutateSession(this.#stock);
			this.#tellAgain();
		}

		const now = this.#now;
		const subjects = new Set([...this.#known.keys(), ...this.#stock.current.subjects.keys()]);
		const usages = [...subjects].flatMap(upstreamId => this.#newUsage(upstreamId, now) ?? []);
		return {sightings: this.#takeSightings(sentAt), usages};
	}

	/** Takes limits and loans; no loans that were asked for before a suspension, as nobody knows how long ago that is. */
	take({limits, grant, reportedAt}: Parameters<LimitExchange['take']>[0]): void {
		if (limits) {
			this.#takeList(limits, reportedAt);
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

	#add(upstreamId: string, perSecond: number, toldAt: number | undefined): void {
		const now = this.#parts.clock.now();
		this.#known.set(upstreamId, {
			perSecond, knownAt: now, seenPerSecond: perSecond, seenAt: now, toldAt,
		});
		// A request in hand is used without a question to the leader, and its answer tells whether the limit has ended.
		mutateDemand(this.#stock, upstreamId, REQUEST_COST, this.#now);
		this.#log(upstreamId, perSecond, undefined);
	}

	#noteSeen(upstreamId: string, known: KnownLimit, perSecond: number | undefined, startedAt: number): void {
		// An answer to a request that was sent before may have been made before the limit was named.
		if (perSecond === undefined && startedAt < known.knownAt) {
			return;
		}

		known.seenPerSecond = perSecond;
		known.seenAt = this.#parts.clock.now();
		known.toldAt = undefined;
		if (perSecond !== known.perSecond) {
			this.#parts.onNeed();
		}

		if (perSecond !== undefined && perSecond < known.perSecond) {
			this.#log(upstreamId, perSecond, known.perSecond);
			known.perSecond = perSecond;
		}
	}

	#log(upstreamId: string, perSecond: number | undefined, before: number | undefined): void {
		this.#parts.logger.info({
			event: 'upstream-limit', upstreamId, perSecond, before, term: this.#term,
		}, 'an upstream has another limit');
	}

	/** Another leader, or a new session, knows nothing of what was told and asked for. */
	#tellAgain(): void {
		this.#quietUntil.clear();
		for (const known of this.#known.values()) {
			known.toldAt = undefined;
		}
	}

	#takeSightings(sentAt: number): LimitSighting[] {
		const sightings: LimitSighting[] = [];
		for (const [upstreamId, known] of this.#known) {
			if (known.toldAt === undefined) {
				known.toldAt = sentAt;
				sightings.push({upstreamId, perSecond: known.seenPerSecond, at: known.seenAt});
			}
		}

		return sightings;
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

	#takeList({term, limits}: LimitList, reportedAt: number): void {
		const isNewTerm = term !== this.#term;
		this.#term = term;
		const listed = new Map(limits.map(({upstreamId, perSecond}) => [upstreamId, perSecond]));
		for (const [upstreamId, perSecond] of listed) {
			this.#takeListed(upstreamId, perSecond, reportedAt);
		}

		if (isNewTerm) {
			this.#tellAgain();
			this.#parts.onNeed();
			return;
		}

		for (const [upstreamId, {perSecond, toldAt}] of this.#known) {
			const isEnded = !listed.has(upstreamId) && toldAt !== undefined && toldAt <= reportedAt;
			if (isEnded) {
				this.#known.delete(upstreamId);
				this.#log(upstreamId, undefined, perSecond);
			}
		}
	}

	#takeListed(upstreamId: string, perSecond: number, reportedAt: number): void {
		const known = this.#known.get(upstreamId);
		if (!known) {
			this.#add(upstreamId, perSecond, reportedAt);
			return;
		}

		const isUntold = known.toldAt === undefined || known.toldAt > reportedAt;
		const next = isUntold ? Math.min(perSecond, known.perSecond) : perSecond;
		if (next !== known.perSecond) {
			this.#log(upstreamId, next, known.perSecond);
			known.perSecond = next;
		}
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
