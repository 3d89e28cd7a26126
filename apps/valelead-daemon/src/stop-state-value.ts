import type {STOP_STATE} from './stop-state.js';

/** A value of {@link STOP_STATE}. */
export type StopStateValue = (typeof STOP_STATE)[keyof typeof STOP_STATE];
