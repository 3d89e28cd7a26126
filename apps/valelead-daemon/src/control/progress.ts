import type {DirectoryProgress} from './directory-progress.js';

/** Versions of the routing and the directory that a follower has or should have. */
export type Progress = DirectoryProgress & {
	readonly routingVersion: number;
};
