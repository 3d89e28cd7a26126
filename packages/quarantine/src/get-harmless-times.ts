import {SUSPECT_PHASE} from './suspect-phase.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * Returns the time at which each segment was last shown to be harmless, in monotonic milliseconds: an upstream was running a prompt with the segment,
 * either at a crash in the ledger or as a gateway reported it.
 */
export const getHarmlessTimes = ({crashes, segmentProofs}: CrashLedger): ReadonlyMap<string, number> => {
	const times = new Map(segmentProofs);
	for (const {at, suspects} of crashes.values()) {
		for (const {segments} of suspects.values()) {
			for (const segment of segments?.phase === SUSPECT_PHASE.Running ? segments.fingerprints : []) {
				times.set(segment, Math.max(at, times.get(segment) ?? at));
			}
		}
	}

	return times;
};
