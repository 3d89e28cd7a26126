import type {StockBook} from './stock-book.js';

/** Nothing borrowed yet. */
export const newStockBook = (term = -1): StockBook => ({term, subjects: new Map(), validUntil: Number.NEGATIVE_INFINITY});
