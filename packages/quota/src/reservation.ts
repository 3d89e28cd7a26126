import type {RateStock} from './rate-stock.js';
import type {SubjectStock} from './subject-stock.js';

/** Units that are reserved for one request. */
export type Reservation = {
	/** Units taken from the loans of sessions. */
	readonly loaned: ReadonlyArray<{readonly stock: SubjectStock; readonly cost: number}>;
	/** Units taken from rate loans. */
	readonly accumulated: ReadonlyArray<{readonly rate: RateStock; readonly cost: number}>;
};
