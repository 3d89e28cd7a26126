import {getRateSum} from './get-rate-sum.js';
import {mutateRateLevel} from './mutate-rate-level.js';
import type {QuotaStock} from './quota-stock.js';
import type {RateLoan} from './rate-loan.js';

/** Adds a rate loan to the stock of a process. Further units accumulate from now on. */
export const mutateGrantedRate = ({rates: {subjects}, maxRates}: QuotaStock, subject: string, loan: RateLoan, now: number): void => {
	const rate = subjects.get(subject) ?? {
		held: {perSecond: 0, capacity: 0}, ended: {perSecond: 0, capacity: 0}, adoption: undefined, level: 0, levelAt: now,
	};
	subjects.set(subject, rate);
	mutateRateLevel(rate, now);
	rate.held = getRateSum(rate.held, loan);
	rate.level += loan.level;
	maxRates.set(subject, {perSecond: loan.maxPerSecond, capacity: loan.maxCapacity});
};
