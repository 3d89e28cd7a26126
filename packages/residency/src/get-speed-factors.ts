import {EQUAL_SPEED_RATIO} from './equal-speed-ratio.js';
import {MAX_SPEED_RATIO} from './max-speed-ratio.js';

const getMedian = (values: readonly number[]): number => {
	const sorted = [...values].sort((left, right) => left - right);
	const middle = sorted.length / 2;
	return (sorted[Math.ceil(middle) - 1] + sorted[Math.floor(middle)]) / 2;
};

const getFactor = (gapMs: number, medianMs: number): number => {
	const ratio = gapMs / medianMs;
	const isEqual = ratio <= EQUAL_SPEED_RATIO && ratio * EQUAL_SPEED_RATIO >= 1;
	return isEqual ? 1 : Math.min(MAX_SPEED_RATIO, Math.max(1 / MAX_SPEED_RATIO, ratio));
};

/**
 * Returns how many times as long as the median of its service each engine takes for the same work. Engines as fast as the median, and engines whose
 * speed is not known, are not in the result.
 * @param gaps - The mean time between two events of a stream, in milliseconds, by engine; 0 if it is not known.
 */
export const getSpeedFactors = (gaps: ReadonlyMap<string, number>): ReadonlyMap<string, number> => {
	const known = [...gaps].filter(([, gapMs]) => gapMs > 0);
	if (known.length === 0) {
		return new Map();
	}

	const medianMs = getMedian(known.map(([, gapMs]) => gapMs));
	return new Map(known.map(([id, gapMs]) => [id, getFactor(gapMs, medianMs)] as const).filter(([, factor]) => factor !== 1));
};
