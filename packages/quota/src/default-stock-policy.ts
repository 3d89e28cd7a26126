import type {StockPolicy} from './stock-policy.js';

/** Keeps what the next few reports need: several report intervals of demand, and at least one request. */
export const DEFAULT_STOCK_POLICY: StockPolicy = {
	horizonMs: 1500, minRequests: 1, refillBelowShare: 0.5, areRatesBorrowed: false,
};
