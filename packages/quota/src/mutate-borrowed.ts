import {getSubjectStock} from './get-subject-stock.js';
import {mutateSession} from './mutate-session.js';
import {newExpiredStock} from './new-expired-stock.js';
import type {Loan} from './loan.js';
import type {QuotaStock} from './quota-stock.js';

/** What a leader tells a borrower: its loans, its term, and until when all of its loans are valid by the borrower's clock. */
type LoanGrant = {
	readonly term: number;
	readonly loans: ReadonlyArray<Pick<Loan, 'subject' | 'amount'>>;
	readonly validUntil: number;
	readonly scarceSubjects: readonly string[];
};

/** Takes loans, which confirm those of the same leadership that have not ended. */
export const mutateBorrowed = (stock: QuotaStock, {term, loans, validUntil, scarceSubjects}: LoanGrant, now: number): void => {
	if (stock.current.term !== term) {
		mutateSession(stock, term);
	} else if (now >= stock.current.validUntil) {
		stock.current = newExpiredStock(stock.current);
	}

	stock.current.validUntil = Math.max(stock.current.validUntil, validUntil);
	stock.scarce = new Set(scarceSubjects);
	for (const {subject, amount} of loans) {
		getSubjectStock(stock.current, subject).free += amount;
	}
};
