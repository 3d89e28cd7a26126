import type {SessionStock} from './session-stock.js';

/** Nothing borrowed yet. */
export const newSessionStock = (term = -1): SessionStock => ({term, subjects: new Map(), validUntil: Number.NEGATIVE_INFINITY});
