import type {LoadInProgress} from './load-in-progress.js';
import type {PollIntervals} from './poll-intervals.js';

/**
 * Until an engine is asked again while it carries out an order, in milliseconds: an unload may end at any moment, a load when it is
 * expected to.
 */
export const getBusyMs = ({busyMs, endingMs}: PollIntervals, loading: LoadInProgress | undefined, now: number): number => {
	const remainingMs = loading ? loading.endsAt - now : 0;
	return Math.min(busyMs, Math.max(endingMs, remainingMs - endingMs));
};
