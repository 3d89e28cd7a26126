import type {Borrower} from './borrower.js';
import type {QuotaTolerance} from './quota-tolerance.js';
import type {SubjectAccount} from './subject-account.js';

/**
 * A leader's account of all quotas. Each subject has a bucket that fills at its rate; what processes use is lent to them first. Use shows late, and the
 * bucket does not fill beyond its brim meanwhile, so what is used in any span is at most the brim and the rate over the span. A loan whose holder is silent
 * counts as used when it ends.
 */
export type QuotaLedger = {
	readonly tolerance: QuotaTolerance;
	readonly startedAt: number;
	readonly accounts: Map<string, SubjectAccount>;
	/** By session. */
	readonly borrowers: Map<string, Borrower>;
};
