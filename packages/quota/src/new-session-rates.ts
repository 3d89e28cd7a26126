import type {SessionRates} from './session-rates.js';

/** Creates the rate loans of a session in which nothing has been borrowed yet. */
export const newSessionRates = (term = -1): SessionRates => ({term, subjects: new Map(), validUntil: Number.NEGATIVE_INFINITY});
