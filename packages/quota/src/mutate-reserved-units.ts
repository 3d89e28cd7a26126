import {getValidRates} from './get-valid-rates.js';
import {mutateRateLevel} from './mutate-rate-level.js';
import type {QuotaStock} from './quota-stock.js';
import type {RateStock} from './rate-stock.js';
import type {Reservation} from './reservation.js';
import type {SubjectStock} from './subject-stock.js';

/** Returns how much of the cost each source covers, in their order. */
const getParts = <Source>(sources: ReadonlyArray<{readonly source: Source; readonly free: number}>, cost: number): Array<{readonly source: Source; readonly cost: number}> => {
	let missing = cost;
	return sources.flatMap(({source, free}) => {
		const part = Math.min(free, missing);
		missing -= part;
		return part > 0 ? [{source, cost: part}] : [];
	});
};

const getSum = (sources: ReadonlyArray<{readonly free: number}>): number => sources.reduce((sum, {free}) => sum + free, 0);

const mutateRateSources = (stock: QuotaStock, subject: string, now: number): Array<{readonly source: RateStock; readonly free: number}> => {
	const rates = getValidRates(stock, subject, now);
	for (const rate of rates) {
		mutateRateLevel(rate, now);
	}

	return rates.map(source => ({source, free: source.level}));
};

const getLoanSources = ({previous, current}: QuotaStock, subject: string, now: number): Array<{readonly source: SubjectStock; readonly free: number}> => {
	const stocks = [previous, current].flatMap(({subjects, validUntil}) => now < validUntil ? (subjects.get(subject) ?? []) : []);
	return stocks.map(source => ({source, free: source.free}));
};

/**
 * Reserves the units of a request in the stock; returns undefined if there are not enough. Accumulated units come first, because they are replaced
 * without a message.
 */
export const mutateReservedUnits = (quotaStock: QuotaStock, subject: string, cost: number, now: number): Reservation | undefined => {
	const rates = mutateRateSources(quotaStock, subject, now);
	const loans = getLoanSources(quotaStock, subject, now);
	const accumulatedCost = Math.min(cost, getSum(rates));
	const loanedCost = cost - accumulatedCost;
	if (getSum(loans) < loanedCost) {
		return undefined;
	}

	const accumulated = getParts(rates, accumulatedCost).map(part => ({rate: part.source, cost: part.cost}));
	const loaned = getParts(loans, loanedCost).map(part => ({stock: part.source, cost: part.cost}));
	for (const part of accumulated) {
		part.rate.level -= part.cost;
	}

	for (const {stock, cost: part} of loaned) {
		stock.free -= part;
		stock.reserved += part;
	}

	return {loaned, accumulated};
};
