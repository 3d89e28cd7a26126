import {newSessionRates} from './new-session-rates.js';
import {newSessionStock} from './new-session-stock.js';
import type {QuotaStock} from './quota-stock.js';

/** True if the current session has no free units left. */
const isEmpty = (stock: QuotaStock): boolean => [...stock.current.subjects.values()].every(({free}) => free === 0);

/** Starts a session with a new leader, or a new session with the same leader. The leader does not know the loans of the previous session. */
export const mutateNewSession = (stock: QuotaStock, term?: number): void => {
	if (!isEmpty(stock)) {
		stock.previous = stock.current;
	}

	if (stock.rates.subjects.size > 0) {
		stock.earlierRates = [...stock.earlierRates, stock.rates];
	}

	stock.rates = newSessionRates(term);
	stock.current = newSessionStock(term);
};
