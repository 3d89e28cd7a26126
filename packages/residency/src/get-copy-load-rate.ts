import {COPY_LOAD_DECAY_MS} from './copy-load-decay-ms.js';
import type {ResidencyState} from './residency-state.js';

/** What loads from copies have counted lately, in weights of requests in time for each millisecond. */
export const getCopyLoadRate = ({copyLoads}: ResidencyState, now: number): number => copyLoads.rate * Math.exp((copyLoads.at - now) / COPY_LOAD_DECAY_MS);
