import type {Quota} from './quota.js';

/** The leader's token bucket for the quota of one subject. Amounts are in units of the quota, times in monotonic milliseconds. */
export type SubjectAccount = {
	quota: Quota;
	/** Units in the bucket at `levelAt`; they include lent units. */
	level: number;
	/** Time of the last update of `level`. */
	levelAt: number;
	/** Lent units that are not reported as used or returned; at most `level`, unless the quota has just been lowered. */
	lent: number;
};
