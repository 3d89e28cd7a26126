import {getNewestRun} from './get-newest-run.js';
import {isOlderRun} from './is-older-run.js';
import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/** Fields that change with each announcement and are ignored when announcements are compared. */
const VOLATILE_FIELDS = {sequence: 0, remainingMs: 0};

const MODEL_FIELDS = {models: [], copiesInMemory: [], copiesOnDisk: []};

const isSame = (left: Upstream, right: Upstream): boolean => JSON.stringify({...left, ...VOLATILE_FIELDS}) === JSON.stringify({...right, ...VOLATILE_FIELDS});

const isSameExceptModels = (left: Upstream, right: Upstream): boolean => isSame({...left, ...MODEL_FIELDS}, {...right, ...MODEL_FIELDS});

const mutateNewestRun = (directory: Directory, upstream: Upstream): void => {
	const newest = getNewestRun(directory, upstream.instanceId);
	if (newest === undefined || isOlderRun(newest, upstream)) {
		directory.newestRuns.set(upstream.instanceId, upstream.id);
	}
};

/** Stores an upstream in the directory and leaves all other entries as they are. The version increases only if the change must be sent to followers. */
export const mutateStoredEntry = (directory: Directory, upstream: Upstream, now: number): void => {
	const known = directory.entries.get(upstream.id);
	if (known && isSame(known.upstream, upstream)) {
		known.upstream = upstream;
		known.announcedAt = now;
		return;
	}

	directory.version += 1;
	if (!known || !isSameExceptModels(known.upstream, upstream)) {
		directory.urgentVersion = directory.version;
	}

	mutateNewestRun(directory, upstream);
	const hasSameDiskCopies = known !== undefined && JSON.stringify(known.upstream.copiesOnDisk) === JSON.stringify(upstream.copiesOnDisk);
	directory.entries.set(upstream.id, {
		upstream, announcedAt: now, version: directory.version, diskCopiesVersion: hasSameDiskCopies ? known.diskCopiesVersion : directory.version, replacedState: undefined,
	});
};
