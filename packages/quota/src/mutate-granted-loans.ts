import {getSubjectStock} from './get-subject-stock.js';
import {mutateNewSession} from './mutate-new-session.js';
import {newExpiredStock} from './new-expired-stock.js';
import type {Loan} from './loan.js';
import type {QuotaStock} from './quota-stock.js';

/** New loans from a leader to a process. */
type LoanGrant = {
	/** Term of the leader. */
	readonly term: number;
	readonly loans: ReadonlyArray<Pick<Loan, 'subject' | 'amount'>>;
	/** When all loans of this term expire, by the borrower's monotonic clock in milliseconds. */
	readonly validUntil: number;
	/** Subjects whose remaining quota the leader reserves for waiting requests. */
	readonly scarceSubjects: readonly string[];
};

/** Adds new loans to the stock of a process. They also extend all loans of the same term that have not expired. */
export const mutateGrantedLoans = (stock: QuotaStock, {term, loans, validUntil, scarceSubjects}: LoanGrant, now: number): void => {
	if (stock.current.term !== term) {
		mutateNewSession(stock, term);
	} else if (now >= stock.current.validUntil) {
		stock.current = newExpiredStock(stock.current);
	}

	stock.current.validUntil = Math.max(stock.current.validUntil, validUntil);
	stock.scarceSubjects = new Set(scarceSubjects);
	for (const {subject, amount} of loans) {
		getSubjectStock(stock.current, subject).free += amount;
	}
};
