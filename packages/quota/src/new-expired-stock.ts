import {newSessionStock} from './new-session-stock.js';
import type {SessionStock} from './session-stock.js';

/**
 * A book in place of one whose loans have ended, which the leader may count as used by now: what is free is given back, and what requests hold counts
 * as used.
 */
export const newExpiredStock = ({term, subjects}: SessionStock): SessionStock => {
	const expired = newSessionStock(term);
	for (const [subject, {free, reserved, used, returned}] of subjects) {
		expired.subjects.set(subject, {
			free: 0, reserved: 0, used: used + reserved, returned: returned + free,
		});
	}

	return expired;
};
