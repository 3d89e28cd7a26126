import type {OUTCOME} from './outcome.js';

/** A value of the constant object OUTCOME. */
export type OutcomeValue = (typeof OUTCOME)[keyof typeof OUTCOME];
