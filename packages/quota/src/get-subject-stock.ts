import type {StockBook} from './stock-book.js';
import type {SubjectStock} from './subject-stock.js';

/** A subject's part of a book, made when it is first asked for. */
export const getSubjectStock = ({subjects}: StockBook, subject: string): SubjectStock => {
	const known = subjects.get(subject);
	if (known) {
		return known;
	}

	const stock: SubjectStock = {
		free: 0, reserved: 0, used: 0, returned: 0,
	};
	subjects.set(subject, stock);
	return stock;
};
