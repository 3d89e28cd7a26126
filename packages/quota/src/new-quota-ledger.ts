import {DEFAULT_WAITING_RESERVE_SHARE} from './default-waiting-reserve-share.js';
import type {QuotaLedger} from './quota-ledger.js';
import type {QuotaTolerance} from './quota-tolerance.js';

type LedgerOptions = Partial<Pick<QuotaLedger, 'waitingReserveShare' | 'previousStarts' | 'areRatesLent' | 'isFirstTerm'>>;

/**
 * Creates the ledger of a new leader. Its buckets are empty, because processes may still use loans of the previous leader, which were at most
 * what the buckets of that leader held.
 */
export const newQuotaLedger = (tolerance: QuotaTolerance, now: number, {
	waitingReserveShare = DEFAULT_WAITING_RESERVE_SHARE, previousStarts = [], areRatesLent = false, isFirstTerm = false,
}: LedgerOptions = {}): QuotaLedger => ({
	tolerance, waitingReserveShare, startedAt: now, previousStarts, areRatesLent, isFirstTerm, accounts: new Map(), borrowers: new Map(), rateBorrowers: new Map(),
});
