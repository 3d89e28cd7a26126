import {getSegmentCrashes} from './get-segment-crashes.js';
import {getSegmentThreshold} from './get-segment-threshold.js';
import type {CrashLedger} from './crash-ledger.js';

/** Maximum number of suspected segments that the leader reports to the gateways. */
const MAX_SUSPECTED_SEGMENTS = 256;

/**
 * Returns the fingerprints of the segments that one more crash would quarantine, those with the most crashes first.
 * @param now - In monotonic milliseconds.
 */
export const getSuspectedSegments = (ledger: CrashLedger, now: number): string[] => [...getSegmentCrashes(ledger)]
	.filter(([segment, {runs}]) => runs.size >= getSegmentThreshold(ledger, segment, now) - 1)
	.sort(([, left], [, right]) => right.runs.size - left.runs.size)
	.slice(0, MAX_SUSPECTED_SEGMENTS)
	.map(([segment]) => segment);
