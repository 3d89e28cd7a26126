import {
	type Quota, type QuotaLedger, type QuotaStock, type QuotaTolerance,
	LOAN_MS, getScarceSubjects, mutateGrantedLoans, mutateConfirmedLoans, mutateDemand, mutateLoan, mutateExpiredLoans, mutateQuotas,
	mutateReservedUnits, mutateNewSession, mutateSettledReservation, mutateSubjectReport,
	mutateUsage, newQuotaLedger, newQuotaStock,
} from '@valelead/quota';
import type {Sharing} from './sharing.js';

const TEAM = 'team';

/** A report and its answer. */
const MESSAGES_AN_EXCHANGE = 2;

/** The leader lends gateways what they use; with a stock for requests to come, or only for requests that are there. */
export class LentSharing implements Sharing {
	messages = 0;
	readonly #stocks: QuotaStock[];
	readonly #hasStock: boolean;
	readonly #newLedger: (now: number) => QuotaLedger;
	#ledger: QuotaLedger;
	#isLed = true;
	#term = 1;

	constructor(count: number, quota: Quota, tolerance: QuotaTolerance, hasStock: boolean) {
		this.#stocks = Array.from({length: count}, () => newQuotaStock());
		this.#hasStock = hasStock;
		this.#newLedger = now => {
			const ledger = newQuotaLedger(tolerance, now);
			mutateQuotas(ledger, new Map([[TEAM, quota]]), now);
			return ledger;
		};

		this.#ledger = this.#newLedger(0);
	}

	ask(gateway: number, cost: number, now: number): boolean {
		const stock = this.#stocks[gateway];
		mutateDemand(stock, TEAM, cost, now);
		if (this.#take(stock, cost, now)) {
			return true;
		}

		this.#exchange(gateway, [cost], now);
		return this.#take(stock, cost, now);
	}

	report(gateway: number, now: number): void {
		this.#exchange(gateway, [], now, true);
	}

	setLed(isLed: boolean, now: number): void {
		this.#isLed = isLed;
		if (isLed) {
			this.#term += 1;
			this.#ledger = this.#newLedger(now);
			for (const stock of this.#stocks) {
				mutateNewSession(stock);
			}
		}
	}

	#take(stock: QuotaStock, cost: number, now: number): boolean {
		const reservation = mutateReservedUnits(stock, TEAM, cost, now);
		if (reservation) {
			mutateSettledReservation(reservation, true);
		}

		return reservation !== undefined;
	}

	/** Regular reports are sent anyway, so they count as no messages. */
	#exchange(gateway: number, needs: readonly number[], now: number, isRegular = false): void {
		if (!this.#isLed) {
			return;
		}

		this.messages += isRegular ? 0 : MESSAGES_AN_EXCHANGE;
		const stock = this.#stocks[gateway];
		const id = `${gateway}.${this.#term}`;
		const usage = mutateSubjectReport(stock, TEAM, needs, now);
		mutateExpiredLoans(this.#ledger, now);
		const told = usage && {...usage, wanted: this.#hasStock ? usage.wanted : 0};
		if (told) {
			mutateUsage(this.#ledger, id, told, now);
		}

		const loan = told && mutateLoan(this.#ledger, id, told, now);
		mutateConfirmedLoans(this.#ledger, id, now);
		mutateGrantedLoans(stock, {
			term: this.#term, loans: loan ? [loan] : [], validUntil: now + LOAN_MS, scarceSubjects: getScarceSubjects(this.#ledger, now),
		}, now);
	}
}
