import type {WatchedRun} from './watched-run.js';

/**
 * A gateway's record of the upstream runs to which connections broke. The gateway watches these runs to tell a crash of the upstream from the
 * loss of a single connection.
 */
export type CrashWatch = {
	/** Watched runs by run id. */
	readonly runs: Map<string, WatchedRun>;
};
