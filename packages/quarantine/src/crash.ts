import type {Suspect} from './suspect.js';

/** A report that one run of an upstream ended without notice while requests were in progress. */
export type Crash = {
	readonly runId: string;
	/** Requests that the reporting gateway had in progress at the upstream. */
	readonly suspects: readonly Suspect[];
};
