import type {RateLoan} from './rate-loan.js';

/** Units of one subject's quota that the leader lends to a process. */
export type Loan = {
	readonly subject: string;
	/** Units lent. */
	readonly amount: number;
	/** Time until the quota suffices for the first waiting request that was not served, in milliseconds; 0 if all waiting requests are served. */
	readonly waitMs: number;
	/** Part of the subject's rate that is lent too; undefined if it does not change. */
	readonly rate?: RateLoan | undefined;
};
