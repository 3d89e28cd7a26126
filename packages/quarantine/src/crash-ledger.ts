import type {CrashRecord} from './crash-record.js';
import type {LastServedTimes} from './last-served-times.js';

/** Recent crashes of upstreams, and the evidence that they give against the requests that were in progress at them. */
export type CrashLedger = {
	/** Crashes by run id, oldest first. */
	readonly crashes: Map<string, CrashRecord>;
	/** Ids of the runs that crashed while a request was in progress there, by fingerprint of the request. */
	readonly runsBySuspect: Map<string, Set<string>>;
	/** Fingerprints of quarantined requests, which are not sent to any upstream. */
	readonly quarantined: Set<string>;
	/** Fingerprints of requests whose quarantine expired; one more crash quarantines them again. */
	readonly halfOpen: Set<string>;
	/** Requests that were answered completely; recent ones are exempt from crash scores. */
	readonly lastServedTimes: LastServedTimes;
	/** Quarantined sets of segments by id. A request whose prompt has all segments of a set is not sent to any upstream. */
	readonly quarantinedSegments: Map<string, readonly string[]>;
	/** Sets of segments whose quarantine expired, by id; one more crash quarantines them again. */
	readonly halfOpenSegments: Map<string, readonly string[]>;
	/** When an upstream was last known to run a prompt with a segment; earlier crashes do not count against the segment. */
	readonly segmentProofs: LastServedTimes;
	/** When a segment was last reported to have run before a crash. The crash counts, but more crashes are needed for a quarantine. */
	readonly earlierSegmentProofs: LastServedTimes;
};
