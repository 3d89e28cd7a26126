import type {Directory} from './directory.js';
import type {Upstream} from './upstream.js';

/** The upstreams that changed after a version, in the order of their changes. */
export const getChangesSince = (directory: Directory, version: number): Upstream[] => [...directory.entries.values()]
	.filter(entry => entry.version > version)
	.sort((left, right) => left.version - right.version)
	.map(entry => entry.upstream);
