import type {QuotaStock} from './quota-stock.js';
import type {RateStock} from './rate-stock.js';

/** Returns the rate loans of a subject that have not expired, those that expire first before the others. */
export const getValidRates = ({earlierRates, rates}: QuotaStock, subject: string, now: number): RateStock[] => [...earlierRates, rates]
	.flatMap(({subjects, validUntil}) => now < validUntil ? (subjects.get(subject) ?? []) : []);
