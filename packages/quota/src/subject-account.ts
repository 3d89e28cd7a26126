import type {Quota} from './quota.js';

/** What the leader knows of a subject's quota. Amounts in the quota's unit, times in monotonic milliseconds. */
export type SubjectAccount = {
	quota: Quota;
	/** What the subject may still use at once, lent amounts included. */
	level: number;
	levelAt: number;
	/** What is lent and not known to be used or given back; at most the level, unless a quota has just been lowered. */
	lent: number;
};
