import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/**
 * A load from the weight store takes the time of several loads from copies. On an engine that keeps many copies these are
 * loads that requests wait for, so its time counts up to this much more there: 1 in 100 of the credit in the laboratory's
 * engine-lost and empty-engines.
 */
const DISPLACEMENT_FACTOR = 1;

/** How long the load itself counts on an engine, from the nearest copy, in milliseconds. */
export const getLoadCostMs = ({hasMemoryCopy, hasDiskCopy, copyShare}: LoadSite, times: LoadTimes): number => {
	if (hasMemoryCopy) {
		return times.memoryLoadMs;
	}

	return hasDiskCopy ? times.diskLoadMs : times.storeLoadMs * (1 + (DISPLACEMENT_FACTOR * copyShare));
};
