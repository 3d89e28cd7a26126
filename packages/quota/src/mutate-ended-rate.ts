import {mutateBucketLevel} from './mutate-bucket-level.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {Rate} from './rate.js';
import type {SubjectAccount} from './subject-account.js';

/** Subtracts a rate that is no longer lent from the lent rate of a subject. */
export const mutateEndedRate = (ledger: QuotaLedger, account: SubjectAccount, {perSecond, capacity}: Rate, now: number): void => {
	mutateBucketLevel(ledger, account, now);
	account.lentRate = {perSecond: Math.max(0, account.lentRate.perSecond - perSecond), capacity: Math.max(0, account.lentRate.capacity - capacity)};
};
