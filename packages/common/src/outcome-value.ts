import type {OUTCOME} from './outcome.js';

/** One of the values of OUTCOME. */
export type OutcomeValue = (typeof OUTCOME)[keyof typeof OUTCOME];
