import {LOAN_RATE_WINDOW_MS} from './loan-rate-window-ms.js';
import type {LoanRate} from './loan-rate.js';

const MS_PER_SECOND = 1000;

/** Past loans are no longer used to estimate future ones once the leader has not replied for this time, in milliseconds. */
const STALE_MS = 2500;

/**
 * Estimates how many requests a second the leader is going to lend to this gateway, at least one in each window. Returns undefined unless the leader
 * has lent less than requested during the whole window, which means that other gateways compete for the same limit.
 */
export const getLoanRate = ({shortSince, answeredAt, loans}: LoanRate, now: number): number | undefined => {
	if (shortSince === undefined || now - shortSince < LOAN_RATE_WINDOW_MS || now - answeredAt > STALE_MS) {
		return undefined;
	}

	const lent = loans.reduce((sum, {at, amount}) => sum + (now - at < LOAN_RATE_WINDOW_MS ? amount : 0), 0);
	return Math.max(1, lent) * MS_PER_SECOND / LOAN_RATE_WINDOW_MS;
};
