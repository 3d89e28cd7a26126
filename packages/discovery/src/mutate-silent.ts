import {UPSTREAM_STATE} from './upstream-state.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/** Entries of upstreams that left are kept for this long, so that late announcements do not bring them back. */
const KEEP_GONE_MS = 60_000;

/** Marks upstreams that were not heard of for too long and returns them. */
export const mutateSilent = (directory: Directory, silenceMs: number, now: number): Upstream[] => {
	const lost: Upstream[] = [];
	for (const [id, {upstream, heardAt}] of directory.entries) {
		const isUsable = upstream.state === UPSTREAM_STATE.Ready || upstream.state === UPSTREAM_STATE.Draining;
		const silentMs = now - heardAt;
		if (!isUsable && silentMs > KEEP_GONE_MS) {
			directory.entries.delete(id);
			if (directory.newestRuns.get(upstream.instanceId) === id) {
				directory.newestRuns.delete(upstream.instanceId);
			}
		} else if (isUsable && silentMs > silenceMs) {
			lost.push(upstream);
		}
	}

	for (const upstream of lost) {
		const {heardAt} = directory.entries.get(upstream.id)!;
		mutateEntry(directory, {...upstream, state: UPSTREAM_STATE.Silent}, heardAt);
	}

	return lost;
};
