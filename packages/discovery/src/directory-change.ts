import type {UpstreamChange} from './upstream-change.js';

/** What a follower is told of the directory. */
export type DirectoryChange = {
	/** The leadership that the version belongs to. */
	readonly epoch: string;
	readonly version: number;
	/** Whether all upstreams are listed, or those that changed. */
	readonly isWhole: boolean;
	readonly upstreams: readonly UpstreamChange[];
};
