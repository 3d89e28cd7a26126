import {getBucketCapacity} from './get-bucket-capacity.js';
import {MAX_LENT_SHARE} from './max-lent-share.js';
import {LOAN_MS} from './loan-ms.js';
import type {Quota} from './quota.js';
import type {QuotaLedger} from './quota-ledger.js';

/**
 * Returns the capacity of a subject's bucket at present, which is lower while processes may still use loans of previous leaders. Each leader lends
 * at most `MAX_LENT_SHARE` of its capacity, so the next one has the rest of that capacity, also if several leaders follow each other quickly.
 */
export const getCurrentBucketCapacity = ({tolerance, startedAt, previousStarts}: QuotaLedger, quota: Quota, now: number): number => {
	let capacity = getBucketCapacity(tolerance, quota);
	for (const at of [...previousStarts, startedAt]) {
		capacity *= now - at < LOAN_MS ? 1 - MAX_LENT_SHARE : 1;
	}

	return capacity;
};
