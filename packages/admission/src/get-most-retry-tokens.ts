import type {AdmissionRequest} from './admission-request.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';

/**
 * Returns the most tokens that the retry budget of a request may hold now. Retries that are charged and wait are part of what it holds: if it filled up
 * meanwhile, they and the retries after them would reach the service within one window.
 */
export const getMostRetryTokens = (state: AdmissionState, settings: AdmissionSettings, request: AdmissionRequest): number =>
	Math.max(0, settings.maxRetryTokens - (state.waitingRetries.get(request.retryBudget ?? '') ?? 0));
