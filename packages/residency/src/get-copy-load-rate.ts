import {COPY_LOAD_DECAY_MS} from './copy-load-decay-ms.js';
import type {ResidencyState} from './residency-state.js';

/** The exponentially decayed value of an engine's recent loads from copies, in request weight served in time per millisecond. */
export const getCopyLoadRate = ({copyLoads}: ResidencyState, now: number): number => copyLoads.rate * Math.exp((copyLoads.at - now) / COPY_LOAD_DECAY_MS);
