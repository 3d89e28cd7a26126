import type {Directory} from './directory.js';

/** Creates an empty directory. */
export const newDirectory = (): Directory => ({
	entries: new Map(), newestRuns: new Map(), version: 0, urgentVersion: 0,
});
