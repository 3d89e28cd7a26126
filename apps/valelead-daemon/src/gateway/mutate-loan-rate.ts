import {LOAN_RATE_WINDOW_MS} from './loan-rate-window-ms.js';
import type {LoanRate} from './loan-rate.js';

type LoanAnswer = {
	readonly amount: number;
	/** Whether it is less than what was asked for. */
	readonly isShort: boolean;
};

/** Takes an answer of the leader. */
export const mutateLoanRate = (rate: LoanRate, {amount, isShort}: LoanAnswer, now: number): void => {
	rate.shortSince = isShort ? rate.shortSince ?? now : undefined;
	rate.answeredAt = now;
	rate.loans = [...rate.loans.filter(({at}) => now - at < LOAN_RATE_WINDOW_MS), {at: now, amount}];
};
