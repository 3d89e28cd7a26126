import {getCurrentBucketCapacity} from './get-current-bucket-capacity.js';
import {mutateEndedRate} from './mutate-ended-rate.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectUsage} from './subject-usage.js';

/**
 * Records rates and accumulated units that a borrower returns. Those beyond its rate loans in this ledger are ignored: another leader lent them, or
 * they have expired.
 */
export const mutateReturnedRate = (ledger: QuotaLedger, borrowerId: string, {subject, rate}: SubjectUsage, now: number): void => {
	const account = ledger.accounts.get(subject);
	const entry = ledger.rateBorrowers.get(borrowerId)?.rates.get(subject);
	if (!account || !entry || !rate) {
		return;
	}

	const {held} = entry;
	const ended = {perSecond: Math.min(rate.returnedPerSecond, held.perSecond), capacity: Math.min(rate.returnedCapacity, held.capacity)};
	mutateEndedRate(ledger, account, ended, now);
	entry.held = {perSecond: held.perSecond - ended.perSecond, capacity: held.capacity - ended.capacity};
	account.level = Math.min(getCurrentBucketCapacity(ledger, account, now), account.level + Math.min(rate.returned, held.capacity));
};
