import {newSessionStock} from './new-session-stock.js';
import type {QuotaStock} from './quota-stock.js';

/** The stock of a process that has just started. */
export const newQuotaStock = (): QuotaStock => ({
	current: newSessionStock(), previous: newSessionStock(), scarce: new Set(), demands: new Map(), meanCost: 0,
});
