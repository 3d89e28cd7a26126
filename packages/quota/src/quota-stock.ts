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
	/** Subjects for which the process keeps nothing in stock, as received from the leader. */
	scarceSubjects: ReadonlySet<string>;
	/** Recent demand by subject. */
	readonly demands: Map<string, SubjectDemand>;
	/** Moving average of the cost of a request, in units. */
	meanCost: number;
};
