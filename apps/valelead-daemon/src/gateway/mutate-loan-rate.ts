import {LOAN_RATE_WINDOW_MS} from './loan-rate-window-ms.js';
import type {LoanRate} from './loan-rate.js';

type LoanReply = {
	readonly amount: number;
	/** True if the leader lent less than the gateway asked for. */
	readonly isShort: boolean;
};

/** Updates the loan rate with a reply of the leader. */
export const mutateLoanRate = (rate: LoanRate, {amount, isShort}: LoanReply, now: number): void => {
	rate.shortSince = isShort ? rate.shortSince ?? now : undefined;
	rate.answeredAt = now;
	rate.loans = [...rate.loans.filter(({at}) => now - at < LOAN_RATE_WINDOW_MS), {at: now, amount}];
};
