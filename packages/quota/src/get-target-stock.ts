import {DEMAND_DECAY_MS} from './demand-decay-ms.js';
import type {QuotaStock} from './quota-stock.js';

/** Time whose expected demand a process keeps in stock, in milliseconds: several report intervals, and most of the time without a leader after one is lost. */
const STOCK_HORIZON_MS = 1500;

/**
 * Returns the units of a subject that a process aims to keep in stock: the expected demand, at least one request of mean cost, or 0 if the
 * subject is scarce.
 */
export const getTargetStock = ({scarceSubjects, demands, meanCost}: QuotaStock, subject: string, now: number): number => {
	if (scarceSubjects.has(subject)) {
		return 0;
	}

	const demand = demands.get(subject);
	if (!demand) {
		return meanCost;
	}

	const perMs = demand.amount * Math.exp((demand.at - now) / DEMAND_DECAY_MS) / DEMAND_DECAY_MS;
	return Math.max(meanCost, perMs * STOCK_HORIZON_MS);
};
