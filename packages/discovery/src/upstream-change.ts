import type {Upstream} from './upstream.js';

/** An upstream as a follower is told of it. */
export type UpstreamChange = Upstream & {
	/** Whether the copies on its disk are those that the follower knows; they are left out then, as they are most of what there is to tell. */
	readonly areDiskCopiesUnchanged: boolean;
};
