import {getLoadCostMs} from './get-load-cost-ms.js';
import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/** What a full engine adds to a load's expected time, relative to the load itself; loads slow down while many requests run. */
const UTILIZATION_SLOWDOWN = 1;

/**
 * How long a load waits on the average until one of the models in use falls idle, in milliseconds: about half of a stream
 * of the lengths that the users' sheets state.
 */
const EVICTION_WAIT_MS = 1500;

/** The expected time until an engine has a model loaded, in milliseconds. */
export const getExpectedMs = (site: LoadSite, times: LoadTimes): number => {
	if (site.isHeld) {
		return site.busyMs;
	}

	const evictionWaitMs = site.isInUse ? EVICTION_WAIT_MS : 0;
	if (site.remainingMs !== undefined) {
		return site.remainingMs + (site.isStarted ? 0 : evictionWaitMs);
	}

	return site.queueMs + evictionWaitMs + (getLoadCostMs(site, times) * (1 + (site.pressure * UTILIZATION_SLOWDOWN)));
};
