import {DEMAND_DECAY_MS} from './demand-decay-ms.js';
import type {QuotaStock} from './quota-stock.js';

/** What is asked for in this time is kept in hand, in milliseconds: some reports to the leader, and most of the time without one. */
const STOCK_HORIZON_MS = 1500;

/** The units of a subject that a process wants in hand: what it expects to be asked for, and at least a request of usual size; nothing where the subject is scarce. */
export const getTargetStock = ({scarce, demands, meanCost}: QuotaStock, subject: string, now: number): number => {
	if (scarce.has(subject)) {
		return 0;
	}

	const demand = demands.get(subject);
	if (!demand) {
		return meanCost;
	}

	const perMs = demand.amount * Math.exp((demand.at - now) / DEMAND_DECAY_MS) / DEMAND_DECAY_MS;
	return Math.max(meanCost, perMs * STOCK_HORIZON_MS);
};
