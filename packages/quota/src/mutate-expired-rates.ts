import {getRateSum} from './get-rate-sum.js';
import type {QuotaStock} from './quota-stock.js';
import type {RateStock} from './rate-stock.js';

const mutateEndedStock = (rate: RateStock): void => {
	const {held, ended} = rate;
	rate.ended = getRateSum(ended, held);
	rate.held = {perSecond: 0, capacity: 0};
	rate.level = 0;
};

/** Returns a rate loan that expired between its adoption and the leader's confirmation. */
const mutateEndedAdoption = ({rates: {subjects}}: QuotaStock, subject: string, adopted: RateStock): void => {
	mutateEndedStock(adopted);
	const rate = subjects.get(subject);
	if (rate) {
		rate.ended = getRateSum(rate.ended, adopted.ended);
	} else {
		subjects.set(subject, adopted);
	}
};

/** Removes the rate loans that have expired. Those that the current leader knows are returned, as it may not have ended them yet. */
export const mutateExpiredRates = (stock: QuotaStock, now: number): void => {
	for (const {subjects, validUntil} of stock.earlierRates) {
		for (const [subject, rate] of now < validUntil ? [] : subjects) {
			if (rate.adoption?.session === stock.rates) {
				mutateEndedAdoption(stock, subject, rate);
			}
		}
	}

	stock.earlierRates = stock.earlierRates.filter(({validUntil}) => now < validUntil);
	if (now < stock.rates.validUntil) {
		return;
	}

	for (const rate of stock.rates.subjects.values()) {
		mutateEndedStock(rate);
	}
};
