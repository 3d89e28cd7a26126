import type {Suspect} from './suspect.js';

/** A run of an upstream to which connections broke while requests were in progress. */
export type WatchedRun = {
	readonly runId: string;
	/** IP address and port of the upstream. */
	readonly address: string;
	/** When the first connection broke, in monotonic milliseconds. */
	readonly since: number;
	/** The requests in progress on the broken connections, by fingerprint. */
	readonly suspects: Map<string, Suspect>;
	/** True if the run is known to have ended. */
	isCrashed: boolean;
};
