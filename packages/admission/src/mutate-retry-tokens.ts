import {getMostRetryTokens} from './get-most-retry-tokens.js';
import {getRetryBudget} from './get-retry-budget.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {AdmissionRequest} from './admission-request.js';

/** Adds tokens to the retry budget of a request, or removes tokens if the change is negative. */
export const mutateRetryTokens = (state: AdmissionState, settings: AdmissionSettings, request: AdmissionRequest, change: number, now: number): void => {
	const budget = getRetryBudget(state, settings, request, now);
	state.retryBudgets.set(request.retryBudget ?? '', {
		...budget, tokens: Math.min(getMostRetryTokens(state, settings, request), budget.tokens + change), spent: budget.spent + Math.max(0, -change),
	});
};
