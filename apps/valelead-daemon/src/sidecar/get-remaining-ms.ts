import type {LoadInProgress} from './load-in-progress.js';

/** The expected remaining time of an overdue fetch, as a fraction of the time it has taken so far. */
const OVERDUE_SHARE = 0.25;

/** Returns the time until a load is expected to end, in milliseconds. */
export const getRemainingMs = ({startedAt, endsAt, isFetch}: LoadInProgress, now: number): number => {
	const overdueMs = isFetch && now > endsAt ? (now - startedAt) * OVERDUE_SHARE : 0;
	return Math.max(0, endsAt - now, overdueMs);
};
