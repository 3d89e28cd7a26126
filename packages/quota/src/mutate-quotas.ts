import {mutateBucketLevel} from './mutate-bucket-level.js';
import type {Quota} from './quota.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

const mutateQuota = (ledger: QuotaLedger, subject: string, quota: Quota, now: number): void => {
	const account = ledger.accounts.get(subject);
	if (account === undefined) {
		const added: SubjectAccount = {
			quota, level: 0, levelAt: now, lent: 0, lentRate: {perSecond: 0, capacity: 0}, adoptedRate: {perSecond: 0, capacity: 0}, withheldPerSecond: 0,
		};
		mutateBucketLevel(ledger, added, now);
		ledger.accounts.set(subject, added);
		return;
	}

	mutateBucketLevel(ledger, account, now);
	account.quota = quota;
	mutateBucketLevel(ledger, account, now);
};

/** Replaces the quotas in force. Loans remain, even those of a subject that no longer has a quota. */
export const mutateQuotas = (ledger: QuotaLedger, quotas: ReadonlyMap<string, Quota>, now: number): void => {
	for (const [subject, quota] of quotas) {
		mutateQuota(ledger, subject, quota, now);
	}

	for (const [subject, {lent, lentRate}] of ledger.accounts) {
		if (!quotas.has(subject) && lent <= 0 && lentRate.perSecond <= 0) {
			ledger.accounts.delete(subject);
		}
	}
};
