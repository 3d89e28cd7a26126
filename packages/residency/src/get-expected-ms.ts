import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/** What a full engine adds to a load's expected time, relative to the load itself; loads slow down while many requests run. */
const PRESSURE_SHARE = 1;

const getOwnMs = (site: LoadSite, times: LoadTimes): number => {
	if (site.hasMemoryCopy) {
		return times.memoryLoadMs;
	}

	return site.hasDiskCopy ? times.diskLoadMs : times.storeLoadMs;
};

/** The expected time until an engine has a model loaded, in milliseconds. */
export const getExpectedMs = (site: LoadSite, times: LoadTimes): number => {
	if (site.isHeld) {
		return 0;
	}

	return site.remainingMs ?? (site.queueMs + (getOwnMs(site, times) * (1 + (site.pressure * PRESSURE_SHARE))));
};
