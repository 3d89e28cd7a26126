import {getSubjectStock} from './get-subject-stock.js';
import {mutateNewSession} from './mutate-new-session.js';
import {RATE_LOAN_MS} from './rate-loan-ms.js';
import {mutateConfirmedRates} from './mutate-confirmed-rates.js';
import {mutateExpiredRates} from './mutate-expired-rates.js';
import {mutateGrantedRate} from './mutate-granted-rate.js';
import {newExpiredStock} from './new-expired-stock.js';
import type {Loan} from './loan.js';
import type {QuotaStock} from './quota-stock.js';

/** New loans from a leader to a process. */
type LoanGrant = {
	/** Term of the leader. */
	readonly term: number;
	readonly loans: ReadonlyArray<Pick<Loan, 'subject' | 'amount' | 'rate'>>;
	/** When all loans of this term expire, by the borrower's monotonic clock in milliseconds. */
	readonly validUntil: number;
	/** When all rate loans of this term expire, likewise; undefined if the leader lends no rates to this process. */
	readonly ratesValidUntil?: number;
	/** Subjects whose remaining quota the leader reserves for waiting requests. */
	readonly scarceSubjects: readonly string[];
};

/** Adds new loans to the stock of a process. They also extend all loans of the same term that have not expired. */
export const mutateGrantedLoans = (stock: QuotaStock, {
	term, loans, validUntil, ratesValidUntil = Number.NEGATIVE_INFINITY, scarceSubjects,
}: LoanGrant, now: number): void => {
	if (stock.current.term !== term) {
		mutateNewSession(stock, term);
	} else if (now >= stock.current.validUntil) {
		stock.current = newExpiredStock(stock.current);
	}

	mutateExpiredRates(stock, now);
	mutateConfirmedRates(stock, ratesValidUntil - RATE_LOAN_MS);
	stock.rates.validUntil = Math.max(stock.rates.validUntil, ratesValidUntil);
	stock.current.validUntil = Math.max(stock.current.validUntil, validUntil);
	stock.scarceSubjects = new Set(scarceSubjects);
	for (const {subject, amount, rate} of loans) {
		getSubjectStock(stock.current, subject).free += amount;
		if (rate) {
			mutateGrantedRate(stock, subject, rate, now);
		}
	}
};
