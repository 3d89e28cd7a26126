import {newSessionStock} from './new-session-stock.js';
import type {SessionStock} from './session-stock.js';

/**
 * Creates the stock that replaces one whose loans have expired, as the leader may count them as used by now. Free units are returned, and units
 * reserved for requests count as used.
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
