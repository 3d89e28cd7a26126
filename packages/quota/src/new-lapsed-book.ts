import {newStockBook} from './new-stock-book.js';
import type {StockBook} from './stock-book.js';

/**
 * A book in place of one whose loans have ended, which the leader may count as used by now: what is free is given back, and what requests hold counts
 * as used.
 */
export const newLapsedBook = ({term, subjects}: StockBook): StockBook => {
	const book = newStockBook(term);
	for (const [subject, {free, reserved, used, returned}] of subjects) {
		book.subjects.set(subject, {
			free: 0, reserved: 0, used: used + reserved, returned: returned + free,
		});
	}

	return book;
};
