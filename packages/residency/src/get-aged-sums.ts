import type {SpeedSamples} from './speed-samples.js';
import type {SpeedWindow} from './speed-window.js';

/** Returns the sums of a window, aged to a time. The means do not change with age, only how many samples they stand for. */
export const getAgedSums = ({halfLifeMs, sums, agedAt}: SpeedWindow, now: number): SpeedSamples => {
	const share = 2 ** (-Math.max(0, now - agedAt) / halfLifeMs);
	return {
		gapMs: sums.gapMs * share,
		gaps: sums.gaps * share,
		firstEventMs: sums.firstEventMs * share,
		firstEvents: sums.firstEvents * share,
	};
};
