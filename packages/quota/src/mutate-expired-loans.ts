import {mutateEndedLoan} from './mutate-ended-loan.js';
import {mutateEndedRate} from './mutate-ended-rate.js';
import type {QuotaLedger} from './quota-ledger.js';

const mutateExpiredRates = (ledger: QuotaLedger, now: number): void => {
	for (const borrower of ledger.rateBorrowers.values()) {
		const {rates, expiresAt, hasEnded} = borrower;
		if (hasEnded || now < expiresAt) {
			continue;
		}

		borrower.hasEnded = true;
		for (const [subject, {held}] of rates) {
			const account = ledger.accounts.get(subject);
			if (account) {
				mutateEndedRate(ledger, account, held, now);
			}
		}

		rates.clear();
	}
};

/** Ends the loans of borrowers that no longer report, once the loans have expired. All their units count as used. */
export const mutateExpiredLoans = (ledger: QuotaLedger, now: number): void => {
	mutateExpiredRates(ledger, now);
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
