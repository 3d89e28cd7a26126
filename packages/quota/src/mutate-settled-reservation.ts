import type {Reservation} from './reservation.js';

/** Ends a reservation: its units count as used if the request has begun to run, and are free again if it never will. */
export const mutateSettledReservation = ({stock, cost}: Reservation, isUsed: boolean): void => {
	stock.reserved -= cost;
	if (isUsed) {
		stock.used += cost;
	} else {
		stock.free += cost;
	}
};
