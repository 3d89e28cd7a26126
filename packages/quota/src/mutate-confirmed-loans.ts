import {LOAN_MS} from './loan-ms.js';
import {RATE_LOAN_MS} from './rate-loan-ms.js';
import type {QuotaLedger} from './quota-ledger.js';

/** Extends all loans of a borrower to the full `LOAN_MS` and its rate loans to `RATE_LOAN_MS`, as the response that the leader sends to it now confirms them. */
export const mutateConfirmedLoans = ({borrowers, rateBorrowers}: QuotaLedger, borrowerId: string, now: number): void => {
	const borrower = borrowers.get(borrowerId);
	if (borrower) {
		borrower.expiresAt = now + LOAN_MS;
	}

	const rateBorrower = rateBorrowers.get(borrowerId);
	if (rateBorrower) {
		rateBorrower.expiresAt = now + RATE_LOAN_MS;
	}
};
