import {mutateBucketLevel} from './mutate-bucket-level.js';
import {RATE_LOAN_MS} from './rate-loan-ms.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectUsage} from './subject-usage.js';

/**
 * Takes over rate loans of earlier leaders that a borrower still holds, so that they can be renewed. Those are withheld from the bucket already,
 * so the bucket does not change. Adopting the same loan in two sessions is safe: both entries outlast the time for which earlier loans are withheld.
 */
export const mutateAdoptedRate = (ledger: QuotaLedger, borrowerId: string, {subject, rate}: SubjectUsage, now: number): void => {
	const account = ledger.accounts.get(subject);
	if (!account || !rate || !ledger.areRatesLent || rate.adoptedPerSecond <= 0) {
		return;
	}

	mutateBucketLevel(ledger, account, now);
	const borrower = ledger.rateBorrowers.get(borrowerId) ?? {rates: new Map<string, never>(), hasEnded: false, expiresAt: now + RATE_LOAN_MS};
	ledger.rateBorrowers.set(borrowerId, borrower);
	if (borrower.hasEnded) {
		return;
	}

	const entry = borrower.rates.get(subject) ?? {held: {perSecond: 0, capacity: 0}, reportedAt: now, max: undefined};
	borrower.rates.set(subject, entry);
	const {adoptedPerSecond, adoptedCapacity} = rate;
	entry.held = {perSecond: entry.held.perSecond + adoptedPerSecond, capacity: entry.held.capacity + adoptedCapacity};
	account.lentRate = {perSecond: account.lentRate.perSecond + adoptedPerSecond, capacity: account.lentRate.capacity + adoptedCapacity};
	account.adoptedRate = {perSecond: account.adoptedRate.perSecond + adoptedPerSecond, capacity: account.adoptedRate.capacity + adoptedCapacity};
	mutateBucketLevel(ledger, account, now);
};
