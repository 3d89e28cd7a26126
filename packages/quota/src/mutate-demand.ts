import {DEMAND_DECAY_MS} from './demand-decay-ms.js';
import type {QuotaStock} from './quota-stock.js';

/** Weight of the newest request in the moving average of the request cost. */
const NEWEST_REQUEST_WEIGHT = 0.1;

/** Adds a request to the demand of its subject and to the mean cost. */
export const mutateDemand = (stock: QuotaStock, subject: string, cost: number, now: number): void => {
	const demand = stock.demands.get(subject) ?? {amount: 0, at: now};
	demand.amount = (demand.amount * Math.exp((demand.at - now) / DEMAND_DECAY_MS)) + cost;
	demand.at = now;
	stock.demands.set(subject, demand);
	stock.meanCost += (cost - stock.meanCost) * (stock.meanCost === 0 ? 1 : NEWEST_REQUEST_WEIGHT);
};
