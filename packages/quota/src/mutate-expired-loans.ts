import {mutateEndedLoan} from './mutate-ended-loan.js';
import type {QuotaLedger} from './quota-ledger.js';

/** Ends the loans of borrowers that no longer report, once the loans have expired. All their units count as used. */
export const mutateExpiredLoans = (ledger: QuotaLedger, now: number): void => {
	for (const [id, {amounts, expiresAt}] of ledger.borrowers) {
		if (now < expiresAt) {
			continue;
		}

		ledger.borrowers.delete(id);
		for (const [subject, amount] of amounts) {
			const account = ledger.accounts.get(subject);
			if (account) {
				mutateEndedLoan(ledger, account, {lent: amount, used: amount}, now);
			}
		}
	}
};
