import type {Directory} from './directory.js';

/** A directory without upstreams. */
export const newDirectory = (): Directory => ({
	entries: new Map(), newestRuns: new Map(), version: 0, urgentVersion: 0,
});
