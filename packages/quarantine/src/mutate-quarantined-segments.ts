import {getGuiltySegments} from './get-guilty-segments.js';
import {getSegmentSetId} from './get-segment-set-id.js';
import {getSegmentSetRuns} from './get-segment-set-runs.js';
import type {CrashLedger} from './crash-ledger.js';

/** Returns the sets whose quarantine has expired and with which another upstream has crashed since. */
const getRelapsedSets = (ledger: CrashLedger): Array<readonly string[]> =>
	[...ledger.halfOpenSegments.values()].filter(segments => getSegmentSetRuns(ledger, segments).length > 0);

const mutateQuarantinedSet = (ledger: CrashLedger, segments: readonly string[]): string => {
	const id = getSegmentSetId(segments);
	ledger.quarantinedSegments.set(id, segments);
	ledger.halfOpenSegments.delete(id);
	return id;
};

/**
 * Quarantines the sets of segments that the crashes in the ledger suffice for, and returns their ids. Each quarantined set explains the crashes at which
 * it was in progress, so that the other segments there are not blamed for them.
 * @param now - In monotonic milliseconds.
 */
export const mutateQuarantinedSegments = (ledger: CrashLedger, now: number): string[] => {
	const ids = getRelapsedSets(ledger).map(set => mutateQuarantinedSet(ledger, set));
	let next = getGuiltySegments(ledger, now);
	while (next !== undefined && !ledger.quarantinedSegments.has(getSegmentSetId(next))) {
		ids.push(mutateQuarantinedSet(ledger, next));
		next = getGuiltySegments(ledger, now);
	}

	return ids;
};
