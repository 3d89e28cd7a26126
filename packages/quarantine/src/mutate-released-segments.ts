import type {CrashLedger} from './crash-ledger.js';
import {mutateProvenSegments} from './mutate-proven-segments.js';

/**
 * Ends the quarantine of a set of segments and disregards the crashes before. Crashes still count against the segments that another quarantine contains.
 * @param isHalfOpen - True if one more crash shall quarantine the set again; false if an operator releases it.
 */
export const mutateReleasedSegments = (ledger: CrashLedger, id: string, isHalfOpen: boolean, now: number): void => {
	const segments = ledger.quarantinedSegments.get(id) ?? ledger.halfOpenSegments.get(id) ?? [];
	ledger.quarantinedSegments.delete(id);
	ledger.halfOpenSegments.delete(id);
	const quarantined = new Set([...ledger.quarantinedSegments.values()].flat());
	mutateProvenSegments(ledger, segments.filter(segment => !quarantined.has(segment)), now);
	if (isHalfOpen && segments.length > 0) {
		ledger.halfOpenSegments.set(id, segments);
	}
};
