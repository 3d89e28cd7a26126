import type {SubjectAccount} from './subject-account.js';

const MS_PER_SECOND = 1000;

/** Returns the units that a subject's bucket would hold now if its capacity were unlimited. The rate that is lent does not refill it. */
export const getUncappedLevel = ({quota, level, levelAt, lentRate, withheldPerSecond}: SubjectAccount, now: number): number => {
	const perSecond = Math.max(0, quota.perSecond - lentRate.perSecond - withheldPerSecond);
	return level + (perSecond * (now - levelAt) / MS_PER_SECOND);
};
