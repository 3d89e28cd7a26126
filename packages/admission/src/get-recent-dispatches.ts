import {REMOTE_WINDOW_MS} from './remote-window-ms.js';
import type {TeamUsage} from './team-usage.js';

/** Returns how many requests of a team other entries dispatched within the last `REMOTE_WINDOW_MS`, divided by the weight of the team. */
export const getRecentDispatches = ({recentRemote}: Pick<TeamUsage, 'recentRemote'>, now: number): number => {
	let sum = 0;
	for (const {at, forMs, count} of recentRemote) {
		const share = (REMOTE_WINDOW_MS - (now - at)) / forMs;
		sum += count * Math.max(0, Math.min(1, share));
	}

	return sum;
};
