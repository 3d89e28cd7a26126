import {LOAN_MS} from './loan-ms.js';
import type {StockPolicy} from './stock-policy.js';

/**
 * Keeps what requests need until the loans expire, in case the leader stops answering now, and two requests where demand is rare and irregular.
 * The stock is refilled with nearly every report, because nobody knows which report is the last.
 */
export const LARGE_STOCK_POLICY: StockPolicy = {
	horizonMs: LOAN_MS, minRequests: 2, refillBelowShare: 0.8, areRatesBorrowed: true,
};
