import {DEMAND_DECAY_MS} from './demand-decay-ms.js';
import {getValidRates} from './get-valid-rates.js';
import type {QuotaStock} from './quota-stock.js';

/**
 * Returns the units of a subject that a process aims to keep in stock: the expected demand, at least some requests of mean cost, or 0 if the
 * subject is scarce. Rate loans cover a part of it, so that more is left at the leader for waiting requests of unusual size.
 */
export const getTargetStock = (stock: QuotaStock, subject: string, now: number): number => {
	const {policy, scarceSubjects, demands, meanCost} = stock;
	if (scarceSubjects.has(subject)) {
		return 0;
	}

	const rateCapacity = getValidRates(stock, subject, now).reduce((sum, {held}) => sum + held.capacity, 0);
	const minStock = Math.max(0, (meanCost * policy.minRequests) - rateCapacity);
	const demand = demands.get(subject);
	if (!demand) {
		return minStock;
	}

	const perMs = demand.amount * Math.exp((demand.at - now) / DEMAND_DECAY_MS) / DEMAND_DECAY_MS;
	return Math.max(minStock, (perMs * policy.horizonMs) - rateCapacity);
};
