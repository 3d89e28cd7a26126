import {UPSTREAM_STATE} from './upstream-state.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

const isSame = (left: Upstream, right: Upstream): boolean => JSON.stringify({...left, sequence: 0, remainingMs: 0}) === JSON.stringify({...right, sequence: 0, remainingMs: 0});

/** Stores what is known of an upstream; only a change that followers must learn raises the version. */
export const mutateEntry = (directory: Directory, upstream: Upstream, now: number): void => {
	const known = directory.entries.get(upstream.id);
	if (known && isSame(known.upstream, upstream)) {
		known.upstream = upstream;
		known.heardAt = now;
		return;
	}

	directory.version += 1;
	directory.entries.set(upstream.id, {
		upstream, heardAt: now, version: directory.version, isReplaced: false,
	});
	if (upstream.state === UPSTREAM_STATE.Gone) {
		return;
	}

	for (const entry of directory.entries.values()) {
		const isReplaced = entry.upstream.address === upstream.address && entry.upstream.id !== upstream.id && entry.upstream.state !== UPSTREAM_STATE.Gone;
		if (isReplaced) {
			directory.version += 1;
			entry.upstream = {...entry.upstream, state: UPSTREAM_STATE.Gone};
			entry.version = directory.version;
			entry.isReplaced = true;
		}
	}
};
