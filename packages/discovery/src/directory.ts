import type {DirectoryEntry} from './directory-entry.js';

/** Upstreams by id. Soft state: announcements rebuild it within a heartbeat or two. */
export type Directory = {
	readonly entries: Map<string, DirectoryEntry>;
	version: number;
};
