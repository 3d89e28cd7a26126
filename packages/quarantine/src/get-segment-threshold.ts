import {SEGMENT_CRASH_THRESHOLD} from './segment-crash-threshold.js';
import {isRecentlyServed} from './is-recently-served.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * The threshold for a segment with which an upstream recently ran a prompt. It is higher because a segment that many prompts share is in progress at
 * most crashes, and nothing can show it to be harmless while all upstreams are down.
 */
const PROVEN_SEGMENT_CRASH_THRESHOLD = 5;

/**
 * Returns the number of crashes from which a segment is quarantined.
 * @param now - In monotonic milliseconds.
 */
export const getSegmentThreshold = ({segmentProofs, earlierSegmentProofs}: CrashLedger, segment: string, now: number): number => {
	const isProven = isRecentlyServed(segmentProofs, segment, now) || isRecentlyServed(earlierSegmentProofs, segment, now);
	return isProven ? PROVEN_SEGMENT_CRASH_THRESHOLD : SEGMENT_CRASH_THRESHOLD;
};
