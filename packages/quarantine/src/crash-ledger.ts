import type {CrashRecord} from './crash-record.js';
import type {LastServedTimes} from './last-served-times.js';

/** The crashes of the last while, and what they say of the requests that were in progress at them. */
export type CrashLedger = {
	/** By run, oldest first. */
	readonly crashes: Map<string, CrashRecord>;
	/** The runs that crashed under each request, by fingerprint. */
	readonly runsBySuspect: Map<string, Set<string>>;
	/** Fingerprints of requests that are not sent any more. */
	readonly quarantined: Set<string>;
	/** Requests whose quarantine ended by time; one more crash brings it back. */
	readonly halfOpen: Set<string>;
	readonly served: LastServedTimes;
};
