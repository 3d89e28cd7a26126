import type {SubjectStock} from './subject-stock.js';

/** Units that one request has taken from a stock. */
export type Reservation = {
	readonly stock: SubjectStock;
	readonly cost: number;
};
