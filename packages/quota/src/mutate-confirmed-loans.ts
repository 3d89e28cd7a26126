import {LOAN_MS} from './loan-ms.js';
import type {QuotaLedger} from './quota-ledger.js';

/** Extends all loans of a borrower to the full `LOAN_MS`, as the response that the leader sends to it now confirms them. */
export const mutateConfirmedLoans = ({borrowers}: QuotaLedger, borrowerId: string, now: number): void => {
	const borrower = borrowers.get(borrowerId);
	if (borrower) {
		borrower.expiresAt = now + LOAN_MS;
	}
};
