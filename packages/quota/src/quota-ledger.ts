import type {Borrower} from './borrower.js';
import type {QuotaTolerance} from './quota-tolerance.js';
import type {SubjectAccount} from './subject-account.js';

/**
 * The leader's accounts of all quotas. Each subject has a token bucket that refills at the rate of its quota, and processes borrow units from it
 * before they use them. Usage is subtracted when it is reported; until then a full bucket stays at its capacity, so the usage in any window is at
 * most the capacity plus the rate times the window. A loan whose borrower does not report counts as used when it expires.
 */
export type QuotaLedger = {
	readonly tolerance: QuotaTolerance;
	/** Start of the term of the leader, in monotonic milliseconds. */
	readonly startedAt: number;
	/** Accounts by subject. */
	readonly accounts: Map<string, SubjectAccount>;
	/** Borrowers by session id. */
	readonly borrowers: Map<string, Borrower>;
};
