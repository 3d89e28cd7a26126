import {getBegunPrompts} from './get-begun-prompts.js';
import {getHarmlessTimes} from './get-harmless-times.js';
import {hasAllSegments} from './has-all-segments.js';
import type {CrashLedger} from './crash-ledger.js';

/**
 * Returns the ids of the crashed runs at which a response to a prompt with all segments of a set had just begun, unless one of these segments has been
 * shown to be harmless since.
 * @param harmlessTimes - When each segment was last shown to be harmless; derived from the ledger by default.
 */
export const getSegmentSetRuns = (ledger: CrashLedger, segments: readonly string[], harmlessTimes = getHarmlessTimes(ledger)): string[] => {
	const harmlessAt = Math.max(...segments.map(segment => harmlessTimes.get(segment) ?? Number.NEGATIVE_INFINITY));
	return [...ledger.crashes.values()]
		.filter(record => record.at > harmlessAt && getBegunPrompts(record).some(prompt => hasAllSegments(prompt, segments)))
		.map(({runId}) => runId);
};
