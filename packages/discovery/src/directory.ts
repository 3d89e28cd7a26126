import type {DirectoryEntry} from './directory-entry.js';

/** The leader's directory of upstream runs, by run id. It is soft state: announcements rebuild it within one or two heartbeats. */
export type Directory = {
	readonly entries: Map<string, DirectoryEntry>;
	/** The id of the newest run of each upstream, so that an announcement can be checked without a scan of all entries. */
	readonly newestRuns: Map<string, string>;
	version: number;
	/** The version of the last change that must be sent to followers at once, which is any change except of an engine's models and copies. */
	urgentVersion: number;
};
