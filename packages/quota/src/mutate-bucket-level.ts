import {getCurrentBucketCapacity} from './get-current-bucket-capacity.js';
import {getUncappedLevel} from './get-uncapped-level.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/** Fills a subject's bucket up to the present. */
export const mutateBucketLevel = (ledger: QuotaLedger, account: SubjectAccount, now: number): void => {
	account.level = Math.min(getCurrentBucketCapacity(ledger, account.quota, now), getUncappedLevel(account, now));
	account.levelAt = now;
};
