import type {SubjectAccount} from './subject-account.js';

const MS_PER_SECOND = 1000;

/** Returns the units that a subject's bucket would hold now if its capacity were unlimited. */
export const getUncappedLevel = ({quota, level, levelAt}: SubjectAccount, now: number): number => level + (quota.perSecond * (now - levelAt) / MS_PER_SECOND);
