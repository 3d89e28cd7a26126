import type {Progress} from './progress.js';

/** Returns true if a follower's routing or directory version is older than the target, or its directory is of another epoch. */
export const isBehind = (progress: Progress, target: Progress): boolean => {
	const isDirectoryBehind = progress.epoch !== target.epoch || progress.directoryVersion < target.directoryVersion;
	return isDirectoryBehind || progress.routingVersion < target.routingVersion;
};
