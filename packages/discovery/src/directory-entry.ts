import type {UpstreamStateValue} from './upstream-state-value.js';
import type {Upstream} from './upstream.js';

/** An upstream in the leader's directory, with the state that the leader tracks for it. */
export type DirectoryEntry = {
	upstream: Upstream;
	/** When the last announcement arrived, in monotonic milliseconds. */
	announcedAt: number;
	/** The directory's version at the last change that must be sent to followers. */
	version: number;
	/** The directory's version at the last change of the upstream's copies on disk. */
	diskCopiesVersion: number;
	/**
	 * The state before the run was marked as gone because a newer run of the upstream, or another upstream at its address, announced itself; undefined if the run
	 * is not replaced.
	 */
	replacedState: UpstreamStateValue | undefined;
};
