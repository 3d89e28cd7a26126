import {LOAN_RATE_WINDOW_MS} from './loan-rate-window-ms.js';
import type {LoanRate} from './loan-rate.js';

const MS_PER_SECOND = 1000;

/** Without an answer for longer, what was lent before says nothing of what will be, in milliseconds. */
const STALE_MS = 2500;

/**
 * The requests a second that a gateway can expect to be lent, at least one in the time over which they are counted; undefined unless the leader has been short
 * for all of that time, so that others take their part.
 */
export const getLoanRate = ({shortSince, answeredAt, loans}: LoanRate, now: number): number | undefined => {
	if (shortSince === undefined || now - shortSince < LOAN_RATE_WINDOW_MS || now - answeredAt > STALE_MS) {
		return undefined;
	}

	const lent = loans.reduce((sum, {at, amount}) => sum + (now - at < LOAN_RATE_WINDOW_MS ? amount : 0), 0);
	return Math.max(1, lent) * MS_PER_SECOND / LOAN_RATE_WINDOW_MS;
};
