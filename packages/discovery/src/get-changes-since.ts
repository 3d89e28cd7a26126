import type {Directory} from './directory.js';
import type {UpstreamChange} from './upstream-change.js';

/** Returns the upstreams that changed after a version, in the order of their changes. Version 0 returns all upstreams. */
export const getChangesSince = (directory: Directory, version: number): UpstreamChange[] => [...directory.entries.values()]
	.filter(entry => entry.version > version)
	.sort((left, right) => left.version - right.version)
	.map(({upstream, diskCopiesVersion}) => diskCopiesVersion > version
		? {...upstream, areDiskCopiesUnchanged: false}
		: {...upstream, copiesOnDisk: [], areDiskCopiesUnchanged: true});
