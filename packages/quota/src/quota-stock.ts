import type {SessionStock} from './session-stock.js';
import type {SubjectDemand} from './subject-demand.js';

/** All that a process has borrowed, and what it is asked for. */
export type QuotaStock = {
	current: SessionStock;
	/** From the session before, which its leader may have forgotten: used up, and never reported. */
	previous: SessionStock;
	/** Subjects of which nothing is kept in stock, as the leader says. */
	scarce: ReadonlySet<string>;
	readonly demands: Map<string, SubjectDemand>;
	/** What a request counted lately, on average. */
	meanCost: number;
};
