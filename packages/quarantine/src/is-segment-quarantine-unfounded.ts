import {getHarmlessTimes} from './get-harmless-times.js';
import {getSegmentSetRuns} from './get-segment-set-runs.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * Returns true if a set of segments is quarantined although further reports show that no crash counts against it, or that another quarantined set was in
 * progress at all its crashes and at more.
 */
export const isSegmentQuarantineUnfounded = (ledger: CrashLedger, id: string): boolean => {
	const segments = ledger.quarantinedSegments.get(id);
	if (!segments) {
		return false;
	}

	const harmlessTimes = getHarmlessTimes(ledger);
	const runs = getSegmentSetRuns(ledger, segments, harmlessTimes);
	const isExplainedBy = (others: readonly string[]): boolean => others.length > runs.length && runs.every(run => others.includes(run));
	return runs.length === 0 || [...ledger.quarantinedSegments].some(([otherId, other]) => otherId !== id && isExplainedBy(getSegmentSetRuns(ledger, other, harmlessTimes)));
};
