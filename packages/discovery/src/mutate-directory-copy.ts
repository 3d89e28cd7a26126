import {UPSTREAM_STATE} from './upstream-state.js';
import type {DirectoryChange} from './directory-change.js';
import type {DirectoryCopy} from './directory-copy.js';
import type {Upstream} from './upstream.js';

/**
 * Drops the runs before at an upstream's address. The leader says so of those that it knows; one that was elected since does not know
 * them, and requests for them would be refused at the address until they are given up as unconfirmed.
 */
const mutateReplaced = (copy: DirectoryCopy, {id, address}: Upstream): void => {
	for (const [otherId, {upstream, unconfirmedSince}] of copy.upstreams) {
		if (otherId !== id && upstream.address === address && unconfirmedSince !== undefined) {
			copy.upstreams.delete(otherId);
		}
	}
};

const mutateUpstream = (copy: DirectoryCopy, upstream: Upstream): boolean => {
	const known = copy.upstreams.get(upstream.id)?.upstream;
	const isOlder = known !== undefined && upstream.sequence < known.sequence && upstream.state !== UPSTREAM_STATE.Gone;
	const isLeaving = known?.state === UPSTREAM_STATE.Draining && upstream.state === UPSTREAM_STATE.Ready;
	if (upstream.state === UPSTREAM_STATE.Gone) {
		return copy.upstreams.delete(upstream.id);
	}

	mutateReplaced(copy, upstream);
	copy.upstreams.set(upstream.id, {upstream: isOlder || isLeaving ? known : upstream, unconfirmedSince: undefined});
	return true;
};

/**
 * Takes a change. A new leader knows only the upstreams that announced themselves to it, so what it does not
 * list is kept until mutateUnconfirmed drops it. Returns whether anything changed.
 */
export const mutateDirectoryCopy = (copy: DirectoryCopy, change: DirectoryChange, now: number): boolean => {
	if (change.epoch === copy.epoch && change.version < copy.version) {
		return false;
	}

	if (change.epoch !== copy.epoch) {
		for (const entry of copy.upstreams.values()) {
			entry.unconfirmedSince ??= now;
		}
	}

	copy.epoch = change.epoch;
	copy.version = change.version;
	const isChanged = change.upstreams.map(upstream => mutateUpstream(copy, upstream));
	return isChanged.includes(true);
};
