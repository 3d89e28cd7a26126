import {getCurrentBucketCapacity} from './get-current-bucket-capacity.js';
import {getUncappedLevel} from './get-uncapped-level.js';
import {getWithheldRate} from './get-withheld-rate.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {SubjectAccount} from './subject-account.js';

/** Refills a subject's bucket for the time since its last update, up to its capacity. */
export const mutateBucketLevel = (ledger: QuotaLedger, account: SubjectAccount, now: number): void => {
	account.level = Math.min(getCurrentBucketCapacity(ledger, account, now), getUncappedLevel(account, now));
	account.levelAt = now;
	account.withheldPerSecond = getWithheldRate(ledger, account, now).perSecond;
};
