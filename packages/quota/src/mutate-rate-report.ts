import {getValidRates} from './get-valid-rates.js';
import {mutateRateLevel} from './mutate-rate-level.js';
import type {QuotaStock} from './quota-stock.js';
import type {RateStock} from './rate-stock.js';
import type {RateUsage} from './rate-usage.js';

/** A process holds a part of a subject's rate for this time after the last request of the subject, in milliseconds. */
const MAX_IDLE_MS = 30_000;

/** A rate is lowered once it exceeds its maximum by this factor, so that rounding does not change it. */
const LOWER_ABOVE_FACTOR = 1.01;

/** Interval of regular reports, in milliseconds. Units that would exceed the capacity before the next report are returned, as other processes need them. */
const REPORT_INTERVAL_MS = 500;

const MS_PER_SECOND = 1000;

const getKeptShare = ({held}: RateStock, {maxRates}: QuotaStock, subject: string): number => {
	const max = maxRates.get(subject);
	const isAbove = max !== undefined && held.perSecond > max.perSecond * LOWER_ABOVE_FACTOR;
	return isAbove ? max.perSecond / held.perSecond : 1;
};

const getEarlierRates = (stock: QuotaStock, subject: string, now: number): RateStock[] => getValidRates(stock, subject, now).filter(rate => rate !== stock.rates.subjects.get(subject));

/** Asks the leader of a new term to take over the rate loans of earlier terms. Those of its own term are known to it under another session. */
const mutateAdoptions = (stock: QuotaStock, subject: string, now: number): Pick<RateUsage, 'adoptedPerSecond' | 'adoptedCapacity'> => {
	let adoptedPerSecond = 0;
	let adoptedCapacity = 0;
	for (const {term, subjects, validUntil} of stock.earlierRates) {
		const rate = subjects.get(subject);
		if (rate && term < stock.rates.term && now < validUntil && rate.adoption?.session !== stock.rates) {
			rate.adoption = {session: stock.rates, at: now};
			adoptedPerSecond += rate.held.perSecond;
			adoptedCapacity += rate.held.capacity;
		}
	}

	return {adoptedPerSecond, adoptedCapacity};
};

/**
 * Returns the next report on the rate loans of a subject, or undefined if the process holds none and wants none. Lowers the rate by what is returned.
 */
export const mutateRateReport = (stock: QuotaStock, subject: string, now: number): RateUsage | undefined => {
	const rate = stock.rates.subjects.get(subject);
	const isIdle = now - (stock.demands.get(subject)?.at ?? Number.NEGATIVE_INFINITY) >= MAX_IDLE_MS;
	const isTooSmall = (stock.maxRates.get(subject)?.capacity ?? Number.POSITIVE_INFINITY) < stock.meanCost;
	const isUnwanted = isIdle || isTooSmall;
	if (!stock.policy.areRatesBorrowed || (isUnwanted && !rate)) {
		return undefined;
	}

	const adopted = mutateAdoptions(stock, subject, now);
	const heldElsewhere = getEarlierRates(stock, subject, now).reduce((sum, {held, adoption}) => sum + (adoption?.session === stock.rates ? 0 : held.perSecond), 0);
	if (!rate) {
		return {
			heldElsewhere, ...adopted, returnedPerSecond: 0, returnedCapacity: 0, returned: 0,
		};
	}

	mutateRateLevel(rate, now);
	const {perSecond, capacity} = rate.held;
	const keptShare = isUnwanted ? 0 : getKeptShare(rate, stock, subject);
	rate.held = {perSecond: perSecond * keptShare, capacity: capacity * keptShare};
	const kept = Math.min(rate.level, Math.max(0, rate.held.capacity - (rate.held.perSecond * REPORT_INTERVAL_MS / MS_PER_SECOND)));
	const returned = rate.level - kept;
	const {ended} = rate;
	rate.ended = {perSecond: 0, capacity: 0};
	rate.level = kept;
	if (isUnwanted) {
		stock.rates.subjects.delete(subject);
	}

	return {
		heldElsewhere, ...adopted, returnedPerSecond: ended.perSecond + perSecond - rate.held.perSecond, returnedCapacity: ended.capacity + capacity - rate.held.capacity, returned,
	};
};
