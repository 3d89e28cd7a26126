import type {QuotaStock} from './quota-stock.js';

/** The whole units that requests of a subject may take from the stock now, one unit each. */
export const getStockAmount = ({previous, current}: QuotaStock, subject: string, now: number): number => {
	let amount = 0;
	for (const {subjects, validUntil} of [previous, current]) {
		amount += now < validUntil ? Math.floor(subjects.get(subject)?.free ?? 0) : 0;
	}

	return amount;
};
