import type {Upstream} from './upstream.js';

/** An upstream as it is sent to followers of the directory. */
export type UpstreamChange = Upstream & {
	/** True if the follower already has the upstream's copies on disk. They are then left out, as they make up most of a message. */
	readonly areDiskCopiesUnchanged: boolean;
};
