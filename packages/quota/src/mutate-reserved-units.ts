import type {QuotaStock} from './quota-stock.js';
import type {Reservation} from './reservation.js';

/** Reserves the units of a request in the stock; returns undefined if there are not enough. */
export const mutateReservedUnits = ({previous, current}: QuotaStock, subject: string, cost: number, now: number): Reservation | undefined => {
	for (const {subjects, validUntil} of [previous, current]) {
		const stock = subjects.get(subject);
		if (stock && now < validUntil && stock.free >= cost) {
			stock.free -= cost;
			stock.reserved += cost;
			return {stock, cost};
		}
	}

	return undefined;
};
