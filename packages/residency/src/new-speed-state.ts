import type {SpeedState} from './speed-state.js';
import type {SpeedWindow} from './speed-window.js';

/**
 * Half-life of the samples that show a slow-down, in milliseconds. An engine that is slow for 600 ms must be known as slow within a part of that time
 * and as recovered soon after it, also if it gets no more requests. At 70 events a second on an engine, about 9 samples count.
 */
const RECENT_HALF_LIFE_MS = 80;

/**
 * Half-life of the samples that show the permanent speed of an engine, in milliseconds. They count where recent samples are few, as on an engine
 * that gets few requests or was just avoided.
 */
const PERMANENT_HALF_LIFE_MS = 3000;

const newWindow = (halfLifeMs: number): SpeedWindow => ({
	halfLifeMs,
	sums: {
		gapMs: 0, gaps: 0, firstEventMs: 0, firstEvents: 0,
	},
	agedAt: 0,
});

/** Creates the state of an engine of which nothing has been measured. */
export const newSpeedState = (): SpeedState => ({recent: newWindow(RECENT_HALF_LIFE_MS), permanent: newWindow(PERMANENT_HALF_LIFE_MS)});
