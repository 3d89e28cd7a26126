import type {Borrower} from './borrower.js';
import type {RateBorrower} from './rate-borrower.js';
import type {QuotaTolerance} from './quota-tolerance.js';
import type {SubjectAccount} from './subject-account.js';

/**
 * The leader's accounts of all quotas. Each subject has a token bucket that refills at the rate of its quota, and processes borrow units from it
 * before they use them. Usage is subtracted when it is reported; until then a full bucket stays at its capacity, so the usage in any window is at
 * most the capacity plus the rate times the window. A loan whose borrower does not report counts as used when it expires.
 */
export type QuotaLedger = {
	readonly tolerance: QuotaTolerance;
	/** Share of the bucket capacity that is reserved for waiting requests at any process; only units beyond it are lent for future requests. */
	readonly waitingReserveShare: number;
	/** Start of the term of the leader, in monotonic milliseconds. */
	readonly startedAt: number;
	/** When the terms of previous leaders began whose loans may still be valid, in monotonic milliseconds. */
	readonly previousStarts: readonly number[];
	/** True if parts of the rates are lent too. It must be the same for all voters. */
	readonly areRatesLent: boolean;
	/** True if no other leader can have lent rates, because this is the first term of the installation. */
	readonly isFirstTerm: boolean;
	/** Accounts by subject. */
	readonly accounts: Map<string, SubjectAccount>;
	/** Borrowers by session id. */
	readonly borrowers: Map<string, Borrower>;
	/** Borrowers of rates by session id. */
	readonly rateBorrowers: Map<string, RateBorrower>;
};
