import {newSessionStock} from './new-session-stock.js';
import type {QuotaStock} from './quota-stock.js';

const isEmpty = (stock: QuotaStock): boolean => [...stock.current.subjects.values()].every(({free}) => free === 0);

/** Begins with another leader, or a new session with the same one, which knows nothing of what was lent before. */
export const mutateSession = (stock: QuotaStock, term?: number): void => {
	if (!isEmpty(stock)) {
		stock.previous = stock.current;
	}

	stock.current = newSessionStock(term);
};
