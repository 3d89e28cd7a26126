import {getSubjectStock} from './get-subject-stock.js';
import {getTargetStock} from './get-target-stock.js';
import {mutateRateReport} from './mutate-rate-report.js';
import type {QuotaStock} from './quota-stock.js';
import type {SubjectUsage} from './subject-usage.js';

/** A process returns units once its stock is above the target times this factor. */
const RETURN_ABOVE_FACTOR = 2;

/** Returns the next report on one subject, or undefined if there is nothing to report. Resets the reported amounts in the stock. */
export const mutateSubjectReport = (stock: QuotaStock, subject: string, needs: readonly number[], now: number): SubjectUsage | undefined => {
	const subjectStock = getSubjectStock(stock.current, subject);
	const target = getTargetStock(stock, subject, now);
	if (subjectStock.free > target * RETURN_ABOVE_FACTOR) {
		subjectStock.returned += subjectStock.free - target;
		subjectStock.free = target;
	}

	const {used, returned, free} = subjectStock;
	const wanted = free < target * stock.policy.refillBelowShare ? target - free : 0;
	subjectStock.used = 0;
	subjectStock.returned = 0;
	const rate = mutateRateReport(stock, subject, now);
	const hasChanges = used > 0 || returned > 0 || wanted > 0 || needs.length > 0 || rate !== undefined;
	if (!hasChanges) {
		return undefined;
	}

	return {
		subject, used, returned, wanted, needs, ...(rate && {rate}),
	};
};
