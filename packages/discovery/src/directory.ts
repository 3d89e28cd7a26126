import type {DirectoryEntry} from './directory-entry.js';

/** The runs of upstreams by their ids. Soft state: announcements rebuild it within a heartbeat or two. */
export type Directory = {
	readonly entries: Map<string, DirectoryEntry>;
	/** The id of the newest run of each upstream, so that an announcement is judged without a look at all of them. */
	readonly newestRuns: Map<string, string>;
	version: number;
	/** The version of the last change that followers must learn at once: all but what an engine holds and keeps. */
	urgentVersion: number;
};
