import {getLoadCostMs} from './get-load-cost-ms.js';
import type {LoadSite} from './load-site.js';
import type {LoadTimes} from './load-times.js';

/** The share of a load's duration that is added on an engine with all slots in use; loads are slower while many requests run. */
const UTILIZATION_SLOWDOWN = 1;

/**
 * The average time until one of the models in use becomes idle and can be evicted, in milliseconds: about half the duration of a
 * streamed response as given in the users' requirements.
 */
const EVICTION_WAIT_MS = 1500;

/** The expected time until a model is loaded on an engine, in milliseconds, including queued loads and eviction. */
export const getExpectedMs = (candidate: LoadSite, times: LoadTimes): number => {
	if (candidate.isHeld) {
		return candidate.busyMs;
	}

	const evictionWaitMs = candidate.isInUse ? EVICTION_WAIT_MS : 0;
	if (candidate.remainingMs !== undefined) {
		return candidate.remainingMs + (candidate.isStarted ? 0 : evictionWaitMs);
	}

	return candidate.queueMs + evictionWaitMs + (getLoadCostMs(candidate, times) * (1 + (candidate.pressure * UTILIZATION_SLOWDOWN)));
};
