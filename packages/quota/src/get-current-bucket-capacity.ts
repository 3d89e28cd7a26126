import {getBucketCapacity} from './get-bucket-capacity.js';
import {MAX_LENT_SHARE} from './max-lent-share.js';
import {LOAN_MS} from './loan-ms.js';
import type {Quota} from './quota.js';
import type {QuotaLedger} from './quota-ledger.js';

/** Returns the capacity of a subject's bucket at present, which is lower while processes may still use loans of the previous leader. */
export const getCurrentBucketCapacity = ({tolerance, startedAt}: QuotaLedger, quota: Quota, now: number): number => {
	const capacity = getBucketCapacity(tolerance, quota);
	return now - startedAt < LOAN_MS ? capacity * (1 - MAX_LENT_SHARE) : capacity;
};
