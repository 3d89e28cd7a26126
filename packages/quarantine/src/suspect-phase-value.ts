import type {SUSPECT_PHASE} from './suspect-phase.js';

/** Phase of a request when its upstream crashed. */
export type SuspectPhaseValue = (typeof SUSPECT_PHASE)[keyof typeof SUSPECT_PHASE];
