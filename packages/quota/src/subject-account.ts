import type {Quota} from './quota.js';
import type {Rate} from './rate.js';

/** The leader's token bucket for the quota of one subject. Amounts are in units of the quota, times in monotonic milliseconds. */
export type SubjectAccount = {
	quota: Quota;
	/** Units in the bucket at `levelAt`; they include lent units. */
	level: number;
	/** Time of the last update of `level`. */
	levelAt: number;
	/** Lent units that are not reported as used or returned; at most `level`, unless the quota has just been lowered. */
	lent: number;
	/** Sum of the rate loans of this leader; neither its rate nor its capacity belongs to the bucket meanwhile. */
	lentRate: Rate;
	/** Sum of the earlier leaders' rate loans that this leader has taken over. */
	adoptedRate: Rate;
	/** Units per second that earlier leaders may have lent, as of `levelAt`. */
	withheldPerSecond: number;
};
