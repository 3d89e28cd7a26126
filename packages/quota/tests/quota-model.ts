import {
	type Loan, type Quota, type QuotaLedger, type QuotaStock, type QuotaTolerance, type Reservation, type StockPolicy, type SubjectUsage, type TermSighting,
	LOAN_MS, RATE_LOAN_MS, SMALL_WAITING_RESERVE_SHARE,
	getPreviousTermStarts, getScarceSubjects,
	mutateGrantedLoans, mutateConfirmedLoans, mutateDemand, mutateLoan, mutateExpiredLoans, mutateQuotas, mutateAdoptedRate, mutateRateLoan,
	mutateReturnedRate, mutateReservedUnits, mutateNewSession, mutateSettledReservation,
	mutateSubjectReport, mutateTermHistory, mutateUsage, newQuotaLedger, newQuotaStock,
} from '@valelead/quota';

/** A simulated gateway that borrows from the leader. */
type ModelGateway = {
	stock: QuotaStock;
	session: number;
	/** Response of the leader that has not arrived yet. */
	pending: {readonly term: number; readonly loans: readonly Loan[]; readonly reportedAt: number; readonly scarceSubjects: readonly string[]} | undefined;
	/** Reservations of requests in progress, oldest first. */
	readonly reservations: HeldReservation[];
	needs: number[];
	/** The gateway does nothing before this time, and then ignores what was sent to it before. */
	suspendedUntil: number;
};

/** A reservation of a request in progress, and the use that it is counted as. */
type HeldReservation = {
	readonly reservation: Reservation;
	readonly use: Use;
};

/** Units that a request has taken, and the time of its arrival. */
type Use = {
	readonly at: number;
	readonly cost: number;
	/** True if the request ended without having run. */
	isReleased: boolean;
};

const TEAM = 'team';

/** Simulates gateways, one team and a sequence of leaders in virtual time and without a network. Times are in milliseconds. */
export class QuotaModel {
	now = 0;
	readonly uses: Use[] = [];
	readonly gateways: ModelGateway[];
	/** Number of reports that reached a leader. */
	reportCount = 0;
	/** The largest share of the quota's rate that a leader has lent. */
	maxLentRateShare = 0;
	readonly #tolerance: QuotaTolerance;
	readonly #policy: StockPolicy | undefined;
	readonly #terms: TermSighting[] = [{term: 0, at: Number.NEGATIVE_INFINITY}];
	#ledger: QuotaLedger;
	#term = 1;

	/**
	 * @param policy - Stocks of the gateways; undefined for the default ones, and a leader that keeps the default reserve for waiting requests.
	 * @param areRatesLent - True if leaders lend parts of the rate.
	 */
	constructor(count: number, public quota: Quota, tolerance: QuotaTolerance, policy?: StockPolicy, private readonly areRatesLent = false) {
		this.#policy = policy;
		this.#tolerance = tolerance;
		this.gateways = Array.from({length: count}, () => this.#newGateway());
		this.#ledger = this.#newLedger();
	}

	get ledger(): QuotaLedger {
		return this.#ledger;
	}

	/** Advances the virtual time; the leader then ends expired loans. */
	advance(ms: number): void {
		this.now += ms;
		mutateExpiredLoans(this.#ledger, this.now);
	}

	/** Suspends a gateway; a response that has not arrived is ignored when it resumes. */
	suspend(index: number, ms: number): void {
		const gateway = this.gateways[index];
		gateway.suspendedUntil = this.now + ms;
		gateway.pending = undefined;
	}

	setQuota(quota: Quota): void {
		this.quota = quota;
		mutateQuotas(this.#ledger, new Map([[TEAM, quota]]), this.now);
	}

	/** Reserves units for a request at a gateway; returns false if the gateway does not have enough. */
	serve(index: number, cost: number): boolean {
		const gateway = this.gateways[index];
		if (this.#isSuspended(gateway)) {
			return false;
		}

		const reservation = mutateReservedUnits(gateway.stock, TEAM, cost, this.now);
		if (!reservation) {
			return false;
		}

		const use = {at: this.now, cost, isReleased: false};
		this.uses.push(use);
		gateway.reservations.push({reservation, use});
		return true;
	}

	recordDemand(index: number, cost: number): void {
		mutateDemand(this.gateways[index].stock, TEAM, cost, this.now);
	}

	/** Sends a report to the leader and delivers its response. */
	exchange(index: number, needs: readonly number[] = []): Loan | undefined {
		this.report(index, needs);
		return this.deliver(index);
	}

	/** Sends a report to the leader; the response stays pending until it is delivered. */
	report(index: number, needs: readonly number[] = []): void {
		const gateway = this.gateways[index];
		if (this.#isSuspended(gateway)) {
			return;
		}

		const usage = this.#takeUsage(gateway, needs);
		this.reportCount += 1;
		const id = `${index}#${gateway.session}`;
		const loan = usage && this.#lend(id, usage);
		mutateConfirmedLoans(this.#ledger, id, this.now);
		gateway.pending = {
			term: this.#term, loans: loan ? [loan] : [], reportedAt: this.now, scarceSubjects: getScarceSubjects(this.#ledger, this.now),
		};
	}

	/** Delivers the pending response to the last report. */
	deliver(index: number): Loan | undefined {
		const gateway = this.gateways[index];
		const {pending} = gateway;
		gateway.pending = undefined;
		if (!pending) {
			return undefined;
		}

		mutateGrantedLoans(gateway.stock, {...pending, validUntil: pending.reportedAt + LOAN_MS, ...(this.areRatesLent && {ratesValidUntil: pending.reportedAt + RATE_LOAN_MS})}, this.now);
		return pending.loans[0];
	}

	/** Breaks the connection to the leader, so that a report and a pending response are lost, and starts a new session. */
	reconnect(index: number, isReportLost = true): void {
		const gateway = this.gateways[index];
		if (isReportLost) {
			this.#takeUsage(gateway, []);
		}

		gateway.pending = undefined;
		gateway.session += 1;
		mutateNewSession(gateway.stock);
	}

	/** Replaces a gateway by a new one with an empty stock. Requests of the old gateway may have run. */
	restart(index: number): void {
		this.gateways[index] = {...this.#newGateway(), session: this.gateways[index].session + 1};
	}

	/** Ends the oldest request in progress at a gateway. */
	settle(index: number, hasRun: boolean): void {
		const held = this.gateways[index].reservations.shift();
		if (held) {
			mutateSettledReservation(held.reservation, hasRun);
			held.use.isReleased = !hasRun;
		}
	}

	/**
	 * Replaces the leader by another one, which knows no loans.
	 * @param isReportLost - True if each gateway has sent a last report, which nobody has received.
	 */
	changeLeader(isReportLost = true): void {
		this.#term += 1;
		this.#ledger = this.#newLedger();
		for (const index of this.gateways.keys()) {
			this.reconnect(index, isReportLost);
		}
	}

	/** Returns the maximum number of used units of requests that arrived within any window of this length. */
	getMaxUsed(spanMs: number): number {
		const uses = this.uses.filter(({isReleased}) => !isReleased);
		return Math.max(0, ...uses.map(first => uses.reduce((sum, {at, cost}) => sum + (at >= first.at && at < first.at + spanMs ? cost : 0), 0)));
	}

	#isSuspended({suspendedUntil}: ModelGateway): boolean {
		return this.now < suspendedUntil;
	}

	#takeUsage(gateway: ModelGateway, needs: readonly number[]): SubjectUsage | undefined {
		return mutateSubjectReport(gateway.stock, TEAM, needs, this.now);
	}

	#lend(id: string, usage: SubjectUsage): Loan | undefined {
		mutateUsage(this.#ledger, id, usage, this.now);
		mutateAdoptedRate(this.#ledger, id, usage, this.now);
		mutateReturnedRate(this.#ledger, id, usage, this.now);
		const loan = mutateLoan(this.#ledger, id, usage, this.now);
		const rate = mutateRateLoan(this.#ledger, id, usage, this.now);
		this.maxLentRateShare = Math.max(this.maxLentRateShare, (this.#ledger.accounts.get(TEAM)?.lentRate.perSecond ?? 0) / this.quota.perSecond);
		return loan ?? rate ? {...(loan ?? {subject: TEAM, amount: 0, waitMs: 0}), ...(rate && {rate})} : undefined;
	}

	#newLedger(): QuotaLedger {
		mutateTermHistory(this.#terms, this.#term, this.now);
		const ledger = newQuotaLedger(this.#tolerance, this.now, {
			previousStarts: getPreviousTermStarts(this.#terms), areRatesLent: this.areRatesLent, ...(this.#policy && {waitingReserveShare: SMALL_WAITING_RESERVE_SHARE}),
		});
		mutateQuotas(ledger, new Map([[TEAM, this.quota]]), this.now);
		return ledger;
	}

	#newGateway(): ModelGateway {
		return {
			stock: newQuotaStock(this.#policy), session: 1, pending: undefined, reservations: [], needs: [], suspendedUntil: Number.NEGATIVE_INFINITY,
		};
	}
}
