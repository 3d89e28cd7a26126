import {getCurrentRequest} from './get-current-request.js';
import {getRetryBudget} from './get-retry-budget.js';
import {getRetryCost} from './get-retry-cost.js';
import {isRetryable} from './is-retryable.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {AttemptEnd} from './attempt-end.js';

/**
 * Returns true if a request would be queued again if its current attempt ended in the given way now. Nothing is charged: the answer holds until the next
 * event is applied to the state.
 */
export const isRetryAllowed = (state: AdmissionState, settings: AdmissionSettings, end: AttemptEnd & {readonly requestId: string; readonly attemptId: string}, now: number): boolean => {
	const record = getCurrentRequest(state, end.requestId, end.attemptId);
	return record !== undefined && isRetryable(settings, record, end, now) && getRetryCost(settings, end.code) <= getRetryBudget(state, settings, record.request, now).tokens;
};
