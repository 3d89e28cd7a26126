import {getMostRetryTokens} from './get-most-retry-tokens.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RetryBudget} from './retry-budget.js';
import type {AdmissionRequest} from './admission-request.js';

/** The initial tokens of a retry budget if the settings do not specify them. */
const INITIAL_TOKENS = 1;

/** Returns the current retry budget of a request. */
export const getRetryBudget = (state: AdmissionState, settings: AdmissionSettings, request: AdmissionRequest, now: number): RetryBudget => {
	const opensAt = settings.initialRetryTokensAt ?? Number.NEGATIVE_INFINITY;
	const known = state.retryBudgets.get(request.retryBudget ?? '');
	const budget = known?.opensAt === opensAt
		? known
		: {
			tokens: 0, opensAt, isOpened: false, spent: 0,
		};
	const isOpening = !budget.isOpened && now >= opensAt;
	// Retries spent before the budget opened are subtracted; otherwise they would add to the initial retries within one budget window.
	const initial = isOpening ? Math.max(0, (settings.initialRetryTokens ?? INITIAL_TOKENS) - budget.spent) : 0;
	return {...budget, isOpened: budget.isOpened || isOpening, tokens: Math.min(getMostRetryTokens(state, settings, request), budget.tokens + initial)};
};
