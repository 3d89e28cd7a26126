import {getRateSum} from './get-rate-sum.js';
import type {QuotaStock} from './quota-stock.js';
import type {RateStock} from './rate-stock.js';

/** Adds an adopted rate loan to that of the current session. */
const mutateJoinedRate = ({rates: {subjects}}: QuotaStock, subject: string, adopted: RateStock): void => {
	const rate = subjects.get(subject);
	if (!rate) {
		subjects.set(subject, adopted);
		return;
	}

	rate.held = getRateSum(rate.held, adopted.held);
	rate.level += adopted.level;
};

/**
 * Moves the rate loans that the leader has adopted to the current session, so that they are renewed with it.
 * @param reportedAt - When the process made the report that the leader answers, in its own milliseconds.
 */
export const mutateConfirmedRates = (stock: QuotaStock, reportedAt: number): void => {
	for (const {subjects} of stock.earlierRates) {
		for (const [subject, rate] of subjects) {
			if (rate.adoption?.session === stock.rates && rate.adoption.at <= reportedAt) {
				subjects.delete(subject);
				mutateJoinedRate(stock, subject, rate);
			}
		}
	}
};
