import type {SpeedSamples} from './speed-samples.js';

/** Sums of samples of which the older ones count less: half for each half-life of their age. Times are monotonic milliseconds. */
export type SpeedWindow = {
	readonly halfLifeMs: number;
	sums: SpeedSamples;
	/** The time to which the sums are aged. */
	agedAt: number;
};
