import {SEGMENT_CRASH_THRESHOLD} from './segment-crash-threshold.js';
import {getSegmentCrashes} from './get-segment-crashes.js';
import {getSegmentThreshold} from './get-segment-threshold.js';
import {hasAllSegments} from './has-all-segments.js';
import type {CrashLedger} from './crash-ledger.js';
import type {SegmentCrashes} from './segment-crashes.js';

/** Number of crashes from which a choice is made between segments that do not always come together. */
const CHOICE_CRASH_THRESHOLD = 4;

/** A segment is quarantined in spite of a set that explains its crashes if it was in progress at so many more crashes. */
const EXPLANATION_MARGIN = 2;

type Candidate = {
	readonly segment: string;
	readonly isProven: boolean;
	readonly crashCount: number;
	readonly promptCount: number;
	/** The segments that every prompt shared which counts against the candidate, the candidate among them. */
	readonly segments: readonly string[];
};

const getCommonSegments = ([first, ...others]: ReadonlyArray<readonly string[]>): string[] =>
	first.filter(segment => others.every(prompt => prompt.includes(segment)));

const isSuspicious = ({runs, explainedRuns, explanation}: SegmentCrashes, threshold: number): boolean =>
	runs.size - explainedRuns.size >= threshold || (runs.size >= threshold && explanation > 0 && runs.size >= explanation + EXPLANATION_MARGIN);

/** Unproven segments first, then those with the most crashes, then those in the fewest prompts: the cause is in progress at each crash. */
const compareCandidates = (left: Candidate, right: Candidate): number =>
	Number(left.isProven) - Number(right.isProven) || right.crashCount - left.crashCount || left.promptCount - right.promptCount;

const getCandidates = (ledger: CrashLedger, now: number): Candidate[] => {
	const quarantined = new Set([...ledger.quarantinedSegments.values()].filter(({length}) => length === 1).flat());
	const candidates: Candidate[] = [];
	for (const [segment, crashes] of getSegmentCrashes(ledger)) {
		const threshold = getSegmentThreshold(ledger, segment, now);
		if (!quarantined.has(segment) && isSuspicious(crashes, threshold)) {
			candidates.push({
				segment, isProven: threshold > SEGMENT_CRASH_THRESHOLD, crashCount: crashes.runs.size, promptCount: crashes.prompts.length, segments: getCommonSegments(crashes.prompts),
			});
		}
	}

	return candidates.sort(compareCandidates);
};

/**
 * Returns the segments that explain several crashes best, or undefined if none do yet. If several segments always came together, all of them are
 * returned, as nothing tells which is the cause: prompts that have only some of them still can.
 * @param now - In monotonic milliseconds.
 */
export const getGuiltySegments = (ledger: CrashLedger, now: number): readonly string[] | undefined => {
	const [best, ...others] = getCandidates(ledger, now);
	if (!best) {
		return undefined;
	}

	const isUnique = others.every(({segment, isProven}) => isProven || hasAllSegments(best.segments, [segment]));
	return isUnique || best.crashCount >= CHOICE_CRASH_THRESHOLD ? best.segments : undefined;
};
