import type {Rate} from './rate.js';
import type {SessionRates} from './session-rates.js';
import type {SessionStock} from './session-stock.js';
import type {StockPolicy} from './stock-policy.js';
import type {SubjectDemand} from './subject-demand.js';

/** Units that a process has borrowed, and the demand that it has seen. */
export type QuotaStock = {
	readonly policy: StockPolicy;
	/** Units borrowed in the current session with the leader. */
	current: SessionStock;
	/**
	 * Units borrowed in the previous session. Requests may use them until they expire; they are never reported, as the leader may not know them.
	 */
	previous: SessionStock;
	/** Rate loans of the current session. */
	rates: SessionRates;
	/** Rate loans of earlier sessions. Requests may use them until they expire; they are never reported. */
	earlierRates: readonly SessionRates[];
	/** The largest rate loans that the process may keep, as received from the leader. */
	readonly maxRates: Map<string, Rate>;
	/** Subjects for which the process keeps nothing in stock, as received from the leader. */
	scarceSubjects: ReadonlySet<string>;
	/** Recent demand by subject. */
	readonly demands: Map<string, SubjectDemand>;
	/** Moving average of the cost of a request, in units. */
	meanCost: number;
};
