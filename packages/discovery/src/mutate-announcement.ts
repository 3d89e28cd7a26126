import {UPSTREAM_STATE} from './upstream-state.js';
import {getNewestRun} from './get-newest-run.js';
import {getStateAfter} from './get-state-after.js';
import {isOlderRun} from './is-older-run.js';
import {mutateEntry} from './mutate-entry.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/**
 * Applies an announcement of an upstream. An announcement is ignored if it is older than the last one, if it is of an earlier run of the
 * upstream, or if the run has departed. A run that was marked as replaced is restored by its next announcement: the announcement that
 * replaced it may have been a delayed one of another upstream that previously had the same address.
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

	const declared = known.replacedState ?? known.upstream.state;
	if (upstream.sequence <= known.upstream.sequence || declared === UPSTREAM_STATE.Gone) {
		return;
	}

	mutateEntry(directory, {...upstream, state: getStateAfter(declared, upstream.state)}, now);
};
