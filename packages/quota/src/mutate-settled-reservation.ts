import type {Reservation} from './reservation.js';

/** Ends a reservation: its units count as used if the request has begun to run, and are free again if it never will. */
export const mutateSettledReservation = ({loaned, accumulated}: Reservation, isUsed: boolean): void => {
	for (const {stock, cost} of loaned) {
		stock.reserved -= cost;
		if (isUsed) {
			stock.used += cost;
		} else {
			stock.free += cost;
		}
	}

	for (const {rate, cost} of isUsed ? [] : accumulated) {
		rate.level = Math.min(rate.held.capacity, rate.level + cost);
	}
};
