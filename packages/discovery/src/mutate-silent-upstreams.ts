import {DEPARTURE_RETENTION_MS} from './departure-retention-ms.js';
import {UPSTREAM_STATE} from './upstream-state.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/**
 * Marks upstreams as silent whose last announcement is older than `silenceMs`, and returns them. Removes old entries of gone and silent
 * upstreams.
 */
export const mutateSilentUpstreams = (directory: Directory, silenceMs: number, now: number): Upstream[] => {
	const lost: Upstream[] = [];
	for (const [id, {upstream, announcedAt}] of directory.entries) {
		const isUsable = upstream.state === UPSTREAM_STATE.Ready || upstream.state === UPSTREAM_STATE.Draining;
		const silentMs = now - announcedAt;
		if (!isUsable && silentMs > DEPARTURE_RETENTION_MS) {
			directory.entries.delete(id);
			if (directory.newestRuns.get(upstream.instanceId) === id) {
				directory.newestRuns.delete(upstream.instanceId);
			}
		} else if (isUsable && silentMs > silenceMs) {
			lost.push(upstream);
		}
	}

	for (const upstream of lost) {
		const {announcedAt} = directory.entries.get(upstream.id)!;
		mutateEntry(directory, {...upstream, state: UPSTREAM_STATE.Silent}, announcedAt);
	}

	return lost;
};
