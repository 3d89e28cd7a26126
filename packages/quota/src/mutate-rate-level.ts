import type {RateStock} from './rate-stock.js';

const MS_PER_SECOND = 1000;

/** Adds the units that a rate loan has yielded since the last update. */
export const mutateRateLevel = (stock: RateStock, now: number): void => {
	const {held: {perSecond, capacity}, level, levelAt} = stock;
	stock.level = Math.min(capacity, level + (perSecond * Math.max(0, now - levelAt) / MS_PER_SECOND));
	stock.levelAt = Math.max(levelAt, now);
};
