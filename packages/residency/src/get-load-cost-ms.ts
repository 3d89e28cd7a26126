import type {LoadCandidate} from './load-candidate.js';
import type {LoadTimes} from './load-times.js';

/**
 * The extra cost of a load from the weight store on the engine with most copies, relative to its duration. A load from the weight store
 * takes as long as several loads from copies, and on an engine with many copies requests wait for those loads. This raises the score
 * by 1% in the simulated patterns engine-lost and empty-engines.
 */
const DISPLACEMENT_FACTOR = 1;

/**
 * The cost of a load on an engine from its fastest source, in milliseconds: the duration of the load and, for a load from the weight
 * store, of the loads from copies that it displaces.
 */
export const getLoadCostMs = ({hasMemoryCopy, hasDiskCopy, copyShare}: LoadCandidate, times: LoadTimes): number => {
	if (hasMemoryCopy) {
		return times.memoryLoadMs;
	}

	return hasDiskCopy ? times.diskLoadMs : times.storeLoadMs * (1 + (DISPLACEMENT_FACTOR * copyShare));
};
