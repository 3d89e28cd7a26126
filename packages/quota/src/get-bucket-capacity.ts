import type {Quota} from './quota.js';
import type {QuotaTolerance} from './quota-tolerance.js';

const MS_PER_SECOND = 1000;

/** The part of the tolerance that is used; the rest covers requests that were held up on their way to a process. */
const USED_TOLERANCE_SHARE = 0.9;

/** A bucket below this could never serve a request. */
const MIN_BUCKET_CAPACITY = 1;

/** The most that a subject's bucket holds. */
export const getBucketCapacity = ({windowMs, overshoot, slack}: QuotaTolerance, {perSecond, burst}: Quota): number => {
	const allowed = burst + (perSecond * windowMs / MS_PER_SECOND);
	return Math.max(MIN_BUCKET_CAPACITY, burst + (USED_TOLERANCE_SHARE * ((overshoot * allowed) + slack)));
};
