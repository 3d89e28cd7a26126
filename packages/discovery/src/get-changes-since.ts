import type {Directory} from './directory.js';
import type {UpstreamChange} from './upstream-change.js';

/** The upstreams that changed after a version, in the order of their changes; 0 gives all of them. */
export const getChangesSince = (directory: Directory, version: number): UpstreamChange[] => [...directory.entries.values()]
	.filter(entry => entry.version > version)
	.sort((left, right) => left.version - right.version)
	.map(({upstream, diskCopiesVersion}) => diskCopiesVersion > version
		? {...upstream, areDiskCopiesUnchanged: false}
		: {...upstream, copiesOnDisk: [], areDiskCopiesUnchanged: true});
