import type {Quota} from './quota.js';
import type {QuotaTolerance} from './quota-tolerance.js';

const MS_PER_SECOND = 1000;

/** Share of the tolerance that buckets use; the rest covers requests that were delayed on their way to a process. */
const USED_TOLERANCE_SHARE = 0.9;

/** Minimum capacity in units; a bucket with less could never serve a request. */
const MIN_BUCKET_CAPACITY = 1;

/** Returns the capacity of a subject's bucket in units. */
export const getBucketCapacity = ({windowMs, overshoot, slack}: QuotaTolerance, {perSecond, burst}: Quota): number => {
	const allowed = burst + (perSecond * windowMs / MS_PER_SECOND);
	return Math.max(MIN_BUCKET_CAPACITY, burst + (USED_TOLERANCE_SHARE * ((overshoot * allowed) + slack)));
};
