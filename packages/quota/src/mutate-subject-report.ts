import {getSubjectStock} from './get-subject-stock.js';
import {getWantedStock} from './get-wanted-stock.js';
import type {QuotaStock} from './quota-stock.js';
import type {SubjectUsage} from './subject-usage.js';

/** A stock is filled up once it is below this part of what is wanted, and given back above this many times of it. */
const LOW_SHARE = 0.5;
const HIGH_FACTOR = 2;

/** What is told of one subject in the next report; undefined where there is no news. The amounts count as told. */
export const mutateSubjectReport = (stock: QuotaStock, subject: string, needs: readonly number[], now: number): SubjectUsage | undefined => {
	const held = getSubjectStock(stock.current, subject);
	const target = getWantedStock(stock, subject, now);
	if (held.free > target * HIGH_FACTOR) {
		held.returned += held.free - target;
		held.free = target;
	}

	const {used, returned, free} = held;
	const wanted = free < target * LOW_SHARE ? target - free : 0;
	held.used = 0;
	held.returned = 0;
	const hasNews = used > 0 || returned > 0 || wanted > 0 || needs.length > 0;
	if (!hasNews) {
		return undefined;
	}

	return {
		subject, used, returned, wanted, needs,
	};
};
