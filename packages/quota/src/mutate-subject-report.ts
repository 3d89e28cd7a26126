import {getSubjectStock} from './get-subject-stock.js';
import {getTargetStock} from './get-target-stock.js';
import type {QuotaStock} from './quota-stock.js';
import type {SubjectUsage} from './subject-usage.js';

/** A stock is filled up once it is below this part of what is wanted, and given back above this many times of it. */
const REFILL_BELOW_SHARE = 0.5;
const RETURN_ABOVE_FACTOR = 2;

/** What is told of one subject in the next report; undefined where there is no news. The amounts count as told. */
export const mutateSubjectReport = (stock: QuotaStock, subject: string, needs: readonly number[], now: number): SubjectUsage | undefined => {
	const subjectStock = getSubjectStock(stock.current, subject);
	const target = getTargetStock(stock, subject, now);
	if (subjectStock.free > target * RETURN_ABOVE_FACTOR) {
		subjectStock.returned += subjectStock.free - target;
		subjectStock.free = target;
	}

	const {used, returned, free} = subjectStock;
	const wanted = free < target * REFILL_BELOW_SHARE ? target - free : 0;
	subjectStock.used = 0;
	subjectStock.returned = 0;
	const hasChanges = used > 0 || returned > 0 || wanted > 0 || needs.length > 0;
	if (!hasChanges) {
		return undefined;
	}

	return {
		subject, used, returned, wanted, needs,
	};
};
