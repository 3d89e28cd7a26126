import type {SessionStock} from './session-stock.js';
import type {SubjectStock} from './subject-stock.js';

/** A subject's part of a book, made when it is first asked for. */
export const getSubjectStock = ({subjects}: SessionStock, subject: string): SubjectStock => {
	const existing = subjects.get(subject);
	if (existing) {
		return existing;
	}

	const stock: SubjectStock = {
		free: 0, reserved: 0, used: 0, returned: 0,
	};
	subjects.set(subject, stock);
	return stock;
};
