import {UPSTREAM_STATE} from './upstream-state.js';
import {isOlderRun} from './is-older-run.js';
import type {DirectoryChange} from './directory-change.js';
import type {DirectoryCopy} from './directory-copy.js';
import type {Upstream} from './upstream.js';
import type {UpstreamChange} from './upstream-change.js';

/**
 * Drops the runs that an upstream replaces: earlier ones of it, and those at its address. The leader says so of those that it knows; one
 * that was elected since does not know them, and requests for them would be refused until they are given up as unconfirmed.
 */
const mutateReplaced = (copy: DirectoryCopy, next: Upstream): void => {
	for (const [id, {upstream, unconfirmedSince}] of copy.upstreams) {
		const hadSameAddress = upstream.address === next.address && unconfirmedSince !== undefined;
		if (id !== next.id && (hadSameAddress || isOlderRun(upstream, next))) {
			copy.upstreams.delete(id);
		}
	}
};

/** Whether a later run of the upstream is known: a leader that was elected since may have heard only of an earlier one. */
const isSuperseded = (copy: DirectoryCopy, upstream: Upstream): boolean => [...copy.upstreams.values()].some(known => isOlderRun(upstream, known.upstream));

/** What the follower knows of the upstream from now on. */
const getCompleteUpstream = (copy: DirectoryCopy, {areDiskCopiesUnchanged, ...upstream}: UpstreamChange): Upstream =>
	areDiskCopiesUnchanged ? {...upstream, copiesOnDisk: copy.upstreams.get(upstream.id)?.upstream.copiesOnDisk ?? []} : upstream;

const mutateUpstream = (copy: DirectoryCopy, change: UpstreamChange): boolean => {
	const upstream = getCompleteUpstream(copy, change);
	if (upstream.state === UPSTREAM_STATE.Gone) {
		return copy.upstreams.delete(upstream.id);
	}

	if (isSuperseded(copy, upstream)) {
		return false;
	}

	const known = copy.upstreams.get(upstream.id)?.upstream;
	const isOlder = known !== undefined && upstream.sequence < known.sequence;
	const isLeaving = known?.state === UPSTREAM_STATE.Draining && upstream.state === UPSTREAM_STATE.Ready;
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
