import {mutateBucketLevel} from './mutate-bucket-level.js';
import {getRateEntry} from './get-rate-entry.js';
import {getRateSum} from './get-rate-sum.js';
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
	const entry = getRateEntry(ledger, borrowerId, subject, now);
	if (!entry) {
		return;
	}

	const adopted = {perSecond: rate.adoptedPerSecond, capacity: rate.adoptedCapacity};
	entry.held = getRateSum(entry.held, adopted);
	account.lentRate = getRateSum(account.lentRate, adopted);
	account.adoptedRate = getRateSum(account.adoptedRate, adopted);
	mutateBucketLevel(ledger, account, now);
};
