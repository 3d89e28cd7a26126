import {getAgedSums} from './get-aged-sums.js';
import {getEngineSpeed} from './get-engine-speed.js';
import type {SpeedSamples} from './speed-samples.js';
import type {SpeedState} from './speed-state.js';

/**
 * The ratio to the known gap at which the mean gap of one report is limited. A gateway that was suspended or overloaded measures pauses of its own, and a
 * prompt that is read between two events lengthens single gaps. Slow-downs of 2.5 times are known from practice; a larger one shows over several reports.
 */
const MAX_REPORT_RATIO = 2.5;

const getLimitedGapMs = (state: SpeedState, {gapMs, gaps}: SpeedSamples, now: number): number => {
	const {eventGapMs} = getEngineSpeed(state, now);
	return eventGapMs === 0 ? gapMs : Math.min(gapMs, gaps * eventGapMs * MAX_REPORT_RATIO);
};

const isValid = ({gapMs, gaps, firstEventMs, firstEvents}: SpeedSamples): boolean => [gapMs, gaps, firstEventMs, firstEvents].every(value => Number.isFinite(value) && value >= 0);

/** Adds the samples of a gateway to the state of an engine. Sums that are negative or not finite are ignored. */
export const mutateEngineSpeed = (state: SpeedState, samples: SpeedSamples, now: number): void => {
	if (!isValid(samples)) {
		return;
	}

	const gapMs = getLimitedGapMs(state, samples, now);
	for (const window of [state.recent, state.permanent]) {
		const aged = getAgedSums(window, now);
		window.sums = {
			gapMs: aged.gapMs + gapMs,
			gaps: aged.gaps + samples.gaps,
			firstEventMs: aged.firstEventMs + samples.firstEventMs,
			firstEvents: aged.firstEvents + samples.firstEvents,
		};
		window.agedAt = now;
	}
};
