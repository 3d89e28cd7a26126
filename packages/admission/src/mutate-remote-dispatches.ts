import {getBoundedDispatches} from './get-bounded-dispatches.js';
import {getRecentDispatches} from './get-recent-dispatches.js';
import {getTeamUsage} from './get-team-usage.js';
import {REMOTE_WINDOW_MS} from './remote-window-ms.js';
import type {AdmissionState} from './admission-state.js';

/**
 * Adds what other entries have dispatched of each team to the virtual times of the teams. It answers the load of a team that floods many entries: by its
 * own dispatches alone, each entry would give the team a whole share.
 *
 * A team comes to lie ahead of the virtual time of this entry by at most what other entries dispatched of it within the last second. Without this
 * bound, a team that was served elsewhere for a long time, while nothing waited here, would later wait behind a team that was idle.
 * @param dispatches - The dispatches since the last call, divided by the weight of the team, by team.
 * @param forMs - The time since the last call, in milliseconds.
 * @param now - In monotonic milliseconds.
 */
export const mutateRemoteDispatches = (state: AdmissionState, dispatches: ReadonlyMap<string, number>, forMs: number, now: number): void => {
	const spreadMs = Math.max(1, Math.min(forMs, REMOTE_WINDOW_MS));
	for (const [team, total] of dispatches) {
		const usage = getTeamUsage(state, team);
		const count = getBoundedDispatches(total, forMs);
		usage.recentRemote = [...usage.recentRemote.filter(({at}) => now - at < REMOTE_WINDOW_MS), {at: now, forMs: spreadMs, count}];
		usage.virtualTime = Math.max(usage.virtualTime, Math.min(usage.virtualTime + count, state.virtualTime + getRecentDispatches(usage, now)));
	}
};
