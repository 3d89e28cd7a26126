import {DEMAND_DECAY_MS} from './demand-decay-ms.js';
import type {QuotaStock} from './quota-stock.js';

/**
 * Returns the units of a subject that a process aims to keep in stock: the expected demand, at least some requests of mean cost, or 0 if the
 * subject is scarce.
 */
export const getTargetStock = ({policy, scarceSubjects, demands, meanCost}: QuotaStock, subject: string, now: number): number => {
	if (scarceSubjects.has(subject)) {
		return 0;
	}

	const minStock = meanCost * policy.minRequests;
	const demand = demands.get(subject);
	if (!demand) {
		return minStock;
	}

	const perMs = demand.amount * Math.exp((demand.at - now) / DEMAND_DECAY_MS) / DEMAND_DECAY_MS;
	return Math.max(minStock, perMs * policy.horizonMs);
};
