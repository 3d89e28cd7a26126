import {getAgedSums} from './get-aged-sums.js';
import {getEngineSpeed} from './get-engine-speed.js';
import {MAX_SPEED_RATIO} from './max-speed-ratio.js';
import type {SpeedSamples} from './speed-samples.js';
import type {SpeedState} from './speed-state.js';

/** A gateway that was suspended or overloaded measures pauses of its own, so the mean of its gaps is limited to a multiple of what is known. */
const getLimitedGapMs = (state: SpeedState, {gapMs, gaps}: SpeedSamples, now: number): number => {
	const {eventGapMs} = getEngineSpeed(state, now);
	return eventGapMs === 0 ? gapMs : Math.min(gapMs, gaps * eventGapMs * MAX_SPEED_RATIO);
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
