import {SUSPECT_PHASE} from './suspect-phase.js';
import {getBegunPrompts} from './get-begun-prompts.js';
import {getHarmlessTimes} from './get-harmless-times.js';
import {getSegmentSetRuns} from './get-segment-set-runs.js';
import {hasAllSegments} from './has-all-segments.js';
import type {CrashLedger} from './crash-ledger.js';
import type {CrashRecord} from './crash-record.js';
import type {SegmentCrashes} from './segment-crashes.js';

/** A quarantined set of segments, and the number of crashes that count against it. */
type Explanation = {
	readonly segments: readonly string[];
	readonly runCount: number;
};

/** Returns true if the response to a quarantined request had just begun at a crash. */
const isRequestToBlame = ({quarantined}: CrashLedger, {suspects}: CrashRecord): boolean =>
	[...suspects.values()].some(({fingerprint, phase}) => phase === SUSPECT_PHASE.Begun && quarantined.has(fingerprint));

/** Returns the highest number of crashes of a quarantined set that was in progress at a crash; 0 if there is none. */
const getExplanation = (prompts: ReadonlyArray<readonly string[]>, explanations: readonly Explanation[]): number =>
	Math.max(0, ...explanations.filter(({segments}) => prompts.some(prompt => hasAllSegments(prompt, segments))).map(({runCount}) => runCount));

/**
 * Returns the crashes that count against each segment: all gateways have reported them, no quarantined request explains them, and no upstream has run a
 * prompt with the segment since.
 */
export const getSegmentCrashes = (ledger: CrashLedger): ReadonlyMap<string, SegmentCrashes> => {
	const harmlessTimes = getHarmlessTimes(ledger);
	const explanations = [...ledger.quarantinedSegments.values()].map(segments => ({segments, runCount: getSegmentSetRuns(ledger, segments, harmlessTimes).length}));
	const crashesBySegment = new Map<string, SegmentCrashes>();
	for (const record of ledger.crashes.values()) {
		const prompts = record.isPartial || isRequestToBlame(ledger, record) ? [] : getBegunPrompts(record);
		const explanation = getExplanation(prompts, explanations);
		for (const prompt of prompts) {
			const suspected = prompt.filter(segment => (harmlessTimes.get(segment) ?? Number.NEGATIVE_INFINITY) < record.at);
			for (const segment of suspected) {
				const crashes = crashesBySegment.get(segment) ?? {
					runs: new Set(), explainedRuns: new Set(), prompts: [], explanation: 0,
				};
				crashes.runs.add(record.runId);
				crashes.prompts.push(suspected);
				crashes.explanation = Math.max(crashes.explanation, explanation);
				if (explanation > 0) {
					crashes.explainedRuns.add(record.runId);
				}

				crashesBySegment.set(segment, crashes);
			}
		}
	}

	return crashesBySegment;
};
