import {DEFAULT_STOCK_POLICY} from './default-stock-policy.js';
import {newSessionRates} from './new-session-rates.js';
import {newSessionStock} from './new-session-stock.js';
import type {QuotaStock} from './quota-stock.js';
import type {StockPolicy} from './stock-policy.js';

/** Creates the empty stock of a process that has just started. */
export const newQuotaStock = (policy: StockPolicy = DEFAULT_STOCK_POLICY): QuotaStock => ({
	policy, current: newSessionStock(), previous: newSessionStock(), rates: newSessionRates(), earlierRates: [], maxRates: new Map(), scarceSubjects: new Set(), demands: new Map(), meanCost: 0,
});
