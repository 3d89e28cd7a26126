import type {Upstream} from './upstream.js';

/** An upstream in the directory. */
export type DirectoryEntry = {
	upstream: Upstream;
	/** Monotonic time of the last announcement, in milliseconds. */
	announcedAt: number;
	/** The directory's version at the last change that followers must learn. */
	version: number;
	/** The directory's version at the last change of the copies on its disk. */
	diskCopiesVersion: number;
	/** Whether it counts as gone only because another run announced itself at its address. */
	isReplaced: boolean;
};
