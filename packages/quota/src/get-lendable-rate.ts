import {getBucketCapacity} from './get-bucket-capacity.js';
import {MAX_RATE_SHARE} from './max-rate-share.js';
import {RATE_CAPACITY_SHARE} from './rate-capacity-share.js';
import type {Quota} from './quota.js';
import type {QuotaTolerance} from './quota-tolerance.js';
import type {Rate} from './rate.js';

/** Returns the part of a subject's bucket that all rate loans together may hold. */
export const getLendableRate = (tolerance: QuotaTolerance, quota: Quota): Rate => ({
	perSecond: quota.perSecond * MAX_RATE_SHARE, capacity: getBucketCapacity(tolerance, quota) * RATE_CAPACITY_SHARE,
});
