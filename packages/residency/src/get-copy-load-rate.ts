import type {ResidencyState} from './residency-state.js';

/** Loads of longer ago hardly count, in milliseconds: about as long as a load from the weight store takes. */
const MEMORY_MS = 5000;

/** What loads from copies have counted lately, in weights of requests in time for each millisecond. */
export const getCopyLoadRate = ({copyLoads}: ResidencyState, now: number): number => copyLoads.rate * Math.exp((copyLoads.at - now) / MEMORY_MS);
