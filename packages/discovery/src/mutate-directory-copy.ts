import {UPSTREAM_STATE} from './upstream-state.js';
import {getStateAfter} from './get-state-after.js';
import {isOlderRun} from './is-older-run.js';
import type {DirectoryChange} from './directory-change.js';
import type {DirectoryCopy} from './directory-copy.js';
import type {Upstream} from './upstream.js';
import type {UpstreamChange} from './upstream-change.js';

/**
 * Removes the runs that an upstream replaces: its earlier runs, and unconfirmed runs at its address. A leader reports the replaced runs that it
 * knows, but a newly elected leader does not know them. Without this function, requests would still be sent to them, and be refused, until
 * they are removed as unconfirmed.
 */
const mutateReplaced = (copy: DirectoryCopy, next: Upstream): void => {
	// A draining run that a new leader has from an earlier term may have given its address to another upstream since.
	const isAddressTaken = next.state === UPSTREAM_STATE.Ready;
	for (const [id, {upstream, unconfirmedSince}] of copy.upstreams) {
		const hadSameAddress = isAddressTaken && upstream.address === next.address && unconfirmedSince !== undefined;
		if (id !== next.id && (hadSameAddress || isOlderRun(upstream, next))) {
			copy.upstreams.delete(id);
		}
	}
};

/** True if a later run of the upstream is known. A newly elected leader may have received announcements only of an earlier run. */
const isSuperseded = (copy: DirectoryCopy, upstream: Upstream): boolean => [...copy.upstreams.values()].some(known => isOlderRun(upstream, known.upstream));

/** Returns the complete upstream of a change: adds the known copies on disk if the change leaves them out. */
const getCompleteUpstream = (copy: DirectoryCopy, {areDiskCopiesUnchanged, ...upstream}: UpstreamChange): Upstream =>
	areDiskCopiesUnchanged ? {...upstream, copiesOnDisk: copy.upstreams.get(upstream.id)?.upstream.copiesOnDisk ?? []} : upstream;

/** Returns the newer of two descriptions of a run, in a state that regards both. */
const getNewer = (known: Upstream, next: Upstream): Upstream => {
	const isOlder = next.sequence < known.sequence;
	if (isOlder && next.state !== UPSTREAM_STATE.Draining) {
		return known;
	}

	return {...(isOlder ? known : next), state: getStateAfter(known.state, next.state)};
};

const mutateUpstream = (copy: DirectoryCopy, change: UpstreamChange): boolean => {
	const upstream = getCompleteUpstream(copy, change);
	if (upstream.state === UPSTREAM_STATE.Gone) {
		return copy.upstreams.delete(upstream.id);
	}

	if (isSuperseded(copy, upstream)) {
		return false;
	}

	const known = copy.upstreams.get(upstream.id)?.upstream;
	mutateReplaced(copy, upstream);
	copy.upstreams.set(upstream.id, {upstream: known ? getNewer(known, upstream) : upstream, unconfirmedSince: undefined});
	return true;
};

/**
 * Applies an update from the leader to a follower's copy. A new leader knows only the upstreams that have announced themselves to it, so
 * upstreams that it does not list are kept until `mutateUnconfirmedUpstreams` removes them. Returns true if anything changed.
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
