import {mutateEndedLoan} from './mutate-ended-loan.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectUsage} from './subject-usage.js';

/**
 * Records units that a borrower reports as used or returned. Units beyond its loans in this ledger are ignored: another leader lent them, or they
 * already counted as used.
 */
export const mutateUsage = (ledger: QuotaLedger, borrowerId: string, {subject, used, returned}: SubjectUsage, now: number): void => {
	const borrower = ledger.borrowers.get(borrowerId);
	const account = ledger.accounts.get(subject);
	if (!borrower || !account) {
		return;
	}

	const held = borrower.amounts.get(subject) ?? 0;
	const usedNow = Math.min(used, held);
	const endedNow = Math.min(usedNow + returned, held);
	borrower.amounts.set(subject, held - endedNow);
	mutateEndedLoan(ledger, account, {lent: endedNow, used: usedNow}, now);
};
