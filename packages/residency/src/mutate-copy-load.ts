import {getCopyLoadRate} from './get-copy-load-rate.js';
import type {ResidencyState} from './residency-state.js';

/** The part of a load's value that it adds to the mean rate, for each millisecond: that of a mean over five seconds. */
const SHARE_PER_MS = 1 / 5000;

/** Notes a load from a copy and what it counted for the requests that waited for it. */
export const mutateCopyLoad = (state: ResidencyState, value: number, now: number): void => {
	state.copyLoads = {rate: getCopyLoadRate(state, now) + (value * SHARE_PER_MS), at: now};
};
