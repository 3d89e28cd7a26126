import type {UpstreamChange} from './upstream-change.js';

/** An update of the directory that the leader sends to a follower. */
export type DirectoryChange = {
	/** Identifies the leader's term in which the version was assigned. */
	readonly epoch: string;
	readonly version: number;
	/** True if all upstreams are listed, false if only those that changed are. */
	readonly isWhole: boolean;
	readonly upstreams: readonly UpstreamChange[];
};
