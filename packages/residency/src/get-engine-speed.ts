import {getAgedSums} from './get-aged-sums.js';
import type {EngineSpeed} from './engine-speed.js';
import type {SpeedState} from './speed-state.js';

/** Fewer samples than this say nothing: a prompt of another request that is read between two events lengthens single gaps several times. */
const MIN_GAPS = 4;

/**
 * The number of recent samples that weigh as much as the permanent speed. A slow engine sends few events: at 12 a second, two recent samples must be
 * enough to see it as twice as slow.
 */
const PRIOR_GAPS = 0.75;

const UNKNOWN: EngineSpeed = {eventGapMs: 0, firstEventMs: 0};

/** Returns the speed of an engine: that of the recent samples, and its permanent speed where recent samples are few. */
export const getEngineSpeed = ({recent, permanent}: SpeedState, now: number): EngineSpeed => {
	const {gapMs, gaps, firstEventMs, firstEvents} = getAgedSums(permanent, now);
	if (gaps < MIN_GAPS) {
		return UNKNOWN;
	}

	const newest = getAgedSums(recent, now);
	return {
		eventGapMs: (newest.gapMs + (PRIOR_GAPS * gapMs / gaps)) / (newest.gaps + PRIOR_GAPS),
		firstEventMs: firstEvents === 0 ? 0 : firstEventMs / firstEvents,
	};
};
