import {getBucketCapacity} from './get-bucket-capacity.js';
import {MAX_LENT_SHARE} from './max-lent-share.js';
import {LOAN_MS} from './loan-ms.js';
import type {Quota} from './quota.js';
import type {QuotaLedger} from './quota-ledger.js';

/** The most that a subject's bucket holds now: less while loans of the leader before may be used still. */
export const getCurrentBucketCapacity = ({tolerance, startedAt}: QuotaLedger, quota: Quota, now: number): number => {
	const capacity = getBucketCapacity(tolerance, quota);
	return now - startedAt < LOAN_MS ? capacity * (1 - MAX_LENT_SHARE) : capacity;
};
