import {newSessionStock} from './new-session-stock.js';
import type {QuotaStock} from './quota-stock.js';

/** Creates the empty stock of a process that has just started. */
export const newQuotaStock = (): QuotaStock => ({
	current: newSessionStock(), previous: newSessionStock(), scarceSubjects: new Set(), demands: new Map(), meanCost: 0,
});
