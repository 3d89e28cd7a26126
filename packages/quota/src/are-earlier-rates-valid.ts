import {RATE_LOAN_MS} from './rate-loan-ms.js';
import type {QuotaLedger} from './quota-ledger.js';

/**
 * True while rate loans of earlier leaders may be valid. The leader then lends no rate and keeps to what earlier leaders may not lend, so rate loans
 * of two leaders are never valid at the same time.
 */
export const areEarlierRatesValid = ({areRatesLent, isFirstTerm, startedAt}: QuotaLedger, now: number): boolean => areRatesLent && !isFirstTerm && now - startedAt < RATE_LOAN_MS;
