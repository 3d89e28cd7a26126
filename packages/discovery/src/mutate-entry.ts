import {UPSTREAM_STATE} from './upstream-state.js';
import {isOlderRun} from './is-older-run.js';
import {mutateStoredEntry} from './mutate-stored-entry.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/** True if an announcement of `next` shows that `run` has ended, as `run` is an earlier run of that upstream or had its address. */
const isReplacedBy = (run: Upstream, next: Upstream): boolean =>
	run.id !== next.id && run.state !== UPSTREAM_STATE.Gone && (run.address === next.address || isOlderRun(run, next));

const mutateReplaced = (directory: Directory, next: Upstream): void => {
	for (const entry of directory.entries.values()) {
		if (isReplacedBy(entry.upstream, next)) {
			directory.version += 1;
			directory.urgentVersion = directory.version;
			entry.replacedState = entry.upstream.state;
			entry.upstream = {...entry.upstream, state: UPSTREAM_STATE.Gone};
			entry.version = directory.version;
		}
	}
};

/** Stores an upstream in the directory and marks the runs as gone that it replaces. */
export const mutateEntry = (directory: Directory, upstream: Upstream, now: number): void => {
	const {version} = directory;
	mutateStoredEntry(directory, upstream, now);
	if (directory.version !== version && upstream.state !== UPSTREAM_STATE.Gone) {
		mutateReplaced(directory, upstream);
	}
};
