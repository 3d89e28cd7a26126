import {UPSTREAM_STATE} from './upstream-state.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/**
 * Takes an announcement. One that is older than what is known, or of an upstream that has left, changes nothing. A run that was taken for
 * replaced is back with its next announcement: what replaced it may have been a late announcement of the run before it.
 */
export const mutateAnnouncement = (directory: Directory, upstream: Upstream, now: number): void => {
	const known = directory.entries.get(upstream.id);
	if (!known) {
		mutateEntry(directory, upstream, now);
		return;
	}

	const hasLeft = known.upstream.state === UPSTREAM_STATE.Gone && !known.isReplaced;
	if (upstream.sequence <= known.upstream.sequence || hasLeft) {
		return;
	}

	const isLeaving = known.upstream.state === UPSTREAM_STATE.Draining;
	mutateEntry(directory, isLeaving ? {...upstream, state: UPSTREAM_STATE.Draining} : upstream, now);
};
