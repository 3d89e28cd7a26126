import {DEPARTURE_RETENTION_MS} from './departure-retention-ms.js';
import {UPSTREAM_STATE} from './upstream-state.js';
import {getStateAfter} from './get-state-after.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/**
 * Marks upstreams as silent whose last announcement is older than `silenceMs`, and returns those that are silent from now on. Upstreams that have withdrawn
 * stay in the state that they have declared. Removes entries without announcements for `DEPARTURE_RETENTION_MS`.
 */
export const mutateSilentUpstreams = (directory: Directory, silenceMs: number, now: number): Upstream[] => {
	const lost: Upstream[] = [];
	for (const [id, {upstream, announcedAt}] of directory.entries) {
		const silentMs = now - announcedAt;
		if (silentMs > DEPARTURE_RETENTION_MS) {
			directory.entries.delete(id);
			if (directory.newestRuns.get(upstream.instanceId) === id) {
				directory.newestRuns.delete(upstream.instanceId);
			}
		} else if (silentMs > silenceMs) {
			const state = getStateAfter(upstream.state, UPSTREAM_STATE.Silent);
			if (state !== upstream.state) {
				lost.push(upstream);
				mutateEntry(directory, {...upstream, state}, announcedAt);
			}
		}
	}

	return lost;
};
