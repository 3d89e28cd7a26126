import type {LoadInProgress} from './load-in-progress.js';
import type {PollIntervals} from './poll-intervals.js';

/**
 * Returns the time until the next poll while the engine is executing an order, in milliseconds. An unload may end at any moment, so it is
 * polled for at short intervals; during a load the next poll comes shortly before its expected end.
 */
export const getBusyMs = ({busyMs, endingMs}: PollIntervals, loading: LoadInProgress | undefined, now: number): number => {
	const remainingMs = loading ? loading.endsAt - now : 0;
	return Math.min(busyMs, Math.max(endingMs, remainingMs - endingMs));
};
