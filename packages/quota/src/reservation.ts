import type {SubjectStock} from './subject-stock.js';

/** Units that are reserved for one request. */
export type Reservation = {
	/** The stock that the units were taken from. */
	readonly stock: SubjectStock;
	/** Number of units. */
	readonly cost: number;
};
