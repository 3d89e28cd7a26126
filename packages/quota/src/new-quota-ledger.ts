import type {QuotaLedger} from './quota-ledger.js';
import type {QuotaTolerance} from './quota-tolerance.js';

/**
 * Creates the ledger of a new leader. Its buckets are empty, because processes may still use loans of the previous leader, which were at most
 * what the buckets of that leader held.
 */
export const newQuotaLedger = (tolerance: QuotaTolerance, now: number): QuotaLedger => ({
	tolerance, startedAt: now, accounts: new Map(), borrowers: new Map(),
});
