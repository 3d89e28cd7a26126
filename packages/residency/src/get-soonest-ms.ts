import {getLoadCostMs} from './get-load-cost-ms.js';
import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/** When an engine can have a model at the soonest, in milliseconds: in its turn where it is queued, else after the load in progress. */
export const getSoonestMs = (site: LoadSite, times: LoadTimes): number => {
	if (site.isHeld) {
		return site.busyMs;
	}

	return site.remainingMs ?? (site.busyMs + getLoadCostMs(site, times));
};
