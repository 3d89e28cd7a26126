import {COPY_LOAD_DECAY_MS} from './copy-load-decay-ms.js';
import {getCopyLoadRate} from './get-copy-load-rate.js';
import type {ResidencyState} from './residency-state.js';

/** Adds a load from a copy to the decayed rate, with its value to the requests that waited for it. */
export const mutateCopyLoadRate = (state: ResidencyState, value: number, now: number): void => {
	state.copyLoads = {rate: getCopyLoadRate(state, now) + (value / COPY_LOAD_DECAY_MS), at: now};
};
