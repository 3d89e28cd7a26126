import {getLoadCostMs} from './get-load-cost-ms.js';
import type {LoadCandidate} from './load-candidate.js';
import type {LoadTimes} from './load-times.js';

/** The share of a load's duration that is added on an engine with all slots in use; loads are slower while many requests run. */
const UTILIZATION_SLOWDOWN = 1;

/**
 * The average time until one of the models in use becomes idle and can be evicted, in milliseconds: about half the duration of a
 * streamed response as given in the users' requirements.
 */
const EVICTION_WAIT_MS = 1500;

/** The expected time until a model is loaded on an engine, in milliseconds, including queued loads and eviction. */
export const getExpectedReadyMs = (candidate: LoadCandidate, times: LoadTimes): number => {
	if (candidate.isLoaded) {
		return candidate.busyMs;
	}

	const evictionWaitMs = candidate.isEvictionBlocked ? EVICTION_WAIT_MS : 0;
	if (candidate.remainingMs !== undefined) {
		return candidate.remainingMs + (candidate.isStarted ? 0 : evictionWaitMs);
	}

	return candidate.queueMs + evictionWaitMs + (getLoadCostMs(candidate, times) * (1 + (candidate.slotUtilization * UTILIZATION_SLOWDOWN)));
};
