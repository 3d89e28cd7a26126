import {
	type Loan, type Quota, type QuotaLedger, type QuotaStock, type QuotaTolerance, type Reservation, type SubjectUsage,
	LOAN_MS, getScarceSubjects, mutateBorrowed, mutateConfirmedLoans, mutateDemand, mutateLoan, mutateLostLoans, mutateQuotas, mutateReserved, mutateSession, mutateSettled,
	mutateSubjectReport, mutateUsage, newQuotaLedger, newQuotaStock,
} from '@valelead/quota';

type ModelGateway = {
	stock: QuotaStock;
	session: number;
	/** What the leader answered and has not arrived yet. */
	pending: {readonly term: number; readonly loans: readonly Loan[]; readonly reportedAt: number; readonly scarceSubjects: readonly string[]} | undefined;
	readonly held: HeldReservation[];
	needs: number[];
};

type HeldReservation = {
	readonly reservation: Reservation;
	readonly use: Use;
};

/** Units that a request has taken, and when it arrived. */
type Use = {
	readonly at: number;
	readonly cost: number;
	isReleased: boolean;
};

const TEAM = 'team';

/** Gateways, one team and one leader after the other, without a network. Times in milliseconds. */
export class QuotaModel {
	now = 0;
	readonly uses: Use[] = [];
	readonly gateways: ModelGateway[];
	/** Reports that reached a leader. */
	reportCount = 0;
	readonly #tolerance: QuotaTolerance;
	#ledger: QuotaLedger;
	#term = 1;

	constructor(count: number, public quota: Quota, tolerance: QuotaTolerance) {
		this.#tolerance = tolerance;
		this.gateways = Array.from({length: count}, () => this.#newGateway());
		this.#ledger = this.#newLedger();
	}

	get ledger(): QuotaLedger {
		return this.#ledger;
	}

	/** Lets time pass, with the leader's own checks. */
	advance(ms: number): void {
		this.now += ms;
		mutateLostLoans(this.#ledger, this.now);
	}

	setQuota(quota: Quota): void {
		this.quota = quota;
		mutateQuotas(this.#ledger, new Map([[TEAM, quota]]), this.now);
	}

	/** Whether a gateway can serve a request now. */
	serve(index: number, cost: number): boolean {
		const gateway = this.gateways[index];
		const reservation = mutateReserved(gateway.stock, TEAM, cost, this.now);
		if (!reservation) {
			return false;
		}

		const use = {at: this.now, cost, isReleased: false};
		this.uses.push(use);
		gateway.held.push({reservation, use});
		return true;
	}

	recordDemand(index: number, cost: number): void {
		mutateDemand(this.gateways[index].stock, TEAM, cost, this.now);
	}

	/** A report and its answer. */
	exchange(index: number, needs: readonly number[] = []): Loan | undefined {
		this.report(index, needs);
		return this.deliver(index);
	}

	/** A report that reaches the leader; its answer is on its way. */
	report(index: number, needs: readonly number[] = []): void {
		const gateway = this.gateways[index];
		const usage = this.#takeUsage(gateway, needs);
		this.reportCount += 1;
		const id = `${index}#${gateway.session}`;
		const loan = usage && this.#lend(id, usage);
		mutateConfirmedLoans(this.#ledger, id, this.now);
		gateway.pending = {
			term: this.#term, loans: loan ? [loan] : [], reportedAt: this.now, scarceSubjects: getScarceSubjects(this.#ledger, this.now),
		};
	}

	/** The answer to the last report arrives. */
	deliver(index: number): Loan | undefined {
		const gateway = this.gateways[index];
		const {pending} = gateway;
		gateway.pending = undefined;
		if (!pending) {
			return undefined;
		}

		mutateBorrowed(gateway.stock, {...pending, validUntil: pending.reportedAt + LOAN_MS}, this.now);
		return pending.loans[0];
	}

	/** The connection breaks; what was on its way is lost. */
	reconnect(index: number): void {
		const gateway = this.gateways[index];
		this.#takeUsage(gateway, []);
		gateway.pending = undefined;
		gateway.session += 1;
		mutateSession(gateway.stock);
	}

	/** Requests of the gateway that is gone may have run. */
	restart(index: number): void {
		this.gateways[index] = {...this.#newGateway(), session: this.gateways[index].session + 1};
	}

	/** The oldest request that is held ends. */
	settle(index: number, hasRun: boolean): void {
		const held = this.gateways[index].held.shift();
		if (held) {
			mutateSettled(held.reservation, hasRun);
			held.use.isReleased = !hasRun;
		}
	}

	/** Another voter leads; it knows nothing of what was lent. */
	changeLeader(): void {
		this.#term += 1;
		this.#ledger = this.#newLedger();
		for (const index of this.gateways.keys()) {
			this.reconnect(index);
		}
	}

	/** The most that ran of what arrived in a span of this length. */
	getMaxUsed(spanMs: number): number {
		const uses = this.uses.filter(({isReleased}) => !isReleased);
		return Math.max(0, ...uses.map(first => uses.reduce((sum, {at, cost}) => sum + (at >= first.at && at < first.at + spanMs ? cost : 0), 0)));
	}

	#takeUsage(gateway: ModelGateway, needs: readonly number[]): SubjectUsage | undefined {
		return mutateSubjectReport(gateway.stock, TEAM, needs, this.now);
	}

	#lend(id: string, usage: SubjectUsage): Loan | undefined {
		mutateUsage(this.#ledger, id, usage, this.now);
		return mutateLoan(this.#ledger, id, usage, this.now);
	}

	#newLedger(): QuotaLedger {
		const ledger = newQuotaLedger(this.#tolerance, this.now);
		mutateQuotas(ledger, new Map([[TEAM, this.quota]]), this.now);
		return ledger;
	}

	#newGateway(): ModelGateway {
		return {
			stock: newQuotaStock(), session: 1, pending: undefined, held: [], needs: [],
		};
	}
}
