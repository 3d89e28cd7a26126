import {UPSTREAM_STATE} from './upstream-state.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/** Takes an announcement. One that is older than what is known, or of an upstream that has left, changes nothing. */
export const mutateAnnouncement = (directory: Directory, upstream: Upstream, now: number): void => {
	const known = directory.entries.get(upstream.id);
	if (!known) {
		mutateEntry(directory, upstream, now);
		return;
	}

	if (upstream.sequence <= known.upstream.sequence || known.upstream.state === UPSTREAM_STATE.Gone) {
		return;
	}

	const isLeaving = known.upstream.state === UPSTREAM_STATE.Draining;
	mutateEntry(directory, isLeaving ? {...upstream, state: UPSTREAM_STATE.Draining} : upstream, now);
};
