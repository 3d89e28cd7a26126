import {mutateLastServedTimes} from './mutate-last-served-times.js';
import type {CrashLedger} from './crash-ledger.js';

/** Records that an upstream ran a prompt with these segments, so that earlier crashes do not count against them. */
export const mutateProvenSegments = (ledger: CrashLedger, segments: readonly string[], now: number): void => {
	for (const segment of segments) {
		mutateLastServedTimes(ledger.segmentProofs, segment, now);
	}
};
