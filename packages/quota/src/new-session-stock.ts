import type {SessionStock} from './session-stock.js';

/** Creates an empty stock for a session in which nothing has been borrowed yet. */
export const newSessionStock = (term = -1): SessionStock => ({term, subjects: new Map(), validUntil: Number.NEGATIVE_INFINITY});
