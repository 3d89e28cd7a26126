import type {QuotaStock} from './quota-stock.js';

/** Returns how many requests of a subject the stock can serve now, at one unit each. */
export const getAvailableUnits = ({previous, current}: QuotaStock, subject: string, now: number): number => {
	let amount = 0;
	for (const {subjects, validUntil} of [previous, current]) {
		amount += now < validUntil ? Math.floor(subjects.get(subject)?.free ?? 0) : 0;
	}

	return amount;
};
