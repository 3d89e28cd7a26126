import {UPSTREAM_STATE} from './upstream-state.js';
import {getNewestRun} from './get-newest-run.js';
import {isOlderRun} from './is-older-run.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/**
 * Takes an announcement. One that is older than what is known, of an earlier run of the upstream, or of a run that has left, changes
 * nothing. A run that was taken for replaced is back with its next announcement: what replaced it may have been a late announcement of
 * another upstream that was there before it.
 */
export const mutateAnnouncement = (directory: Directory, upstream: Upstream, now: number): void => {
	const newest = getNewestRun(directory, upstream.instanceId);
	if (newest && isOlderRun(upstream, newest)) {
		return;
	}

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
