import type {SessionStock} from './session-stock.js';
import type {SubjectStock} from './subject-stock.js';

/** Returns a subject's units in the stock of a session; adds an empty entry for a new subject. */
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
