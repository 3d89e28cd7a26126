import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';

const MS_PER_SECOND = 1000;

/** Upper bound of the wait, in milliseconds. A rate limit may be 0, and it may end at any time. */
const MAX_WAIT_MS = 60_000;

/**
 * Returns the minimum time until a request that joins a target's queue now can be sent, in milliseconds, given the rate limits of the target's
 * upstreams; 0 if one of them has no limit. Requests of other entries are not counted.
 */
export const getRateLimitedWaitMs = (state: AdmissionState, {sendLimits}: AdmissionSettings, target: string): number => {
	const limits = (state.endpoints.get(target) ?? []).map(({vm}) => sendLimits?.get(vm));
	let perSecond = 0;
	let sends = 0;
	for (const limit of limits) {
		if (limit === undefined) {
			return 0;
		}

		perSecond += limit.perSecond;
		sends += limit.sends;
	}

	const ahead = (state.queues.get(target)?.length ?? 0) + 1 - sends;
	return limits.length === 0 || ahead <= 0 ? 0 : Math.min(MAX_WAIT_MS, ahead * MS_PER_SECOND / perSecond);
};
