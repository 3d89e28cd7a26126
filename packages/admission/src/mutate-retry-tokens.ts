import {getRetryTokens} from './get-retry-tokens.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {Ticket} from './ticket.js';

/** Adds to the retry budget of a request, or takes from it. */
export const mutateRetryTokens = (state: AdmissionState, settings: AdmissionSettings, ticket: Ticket, change: number): void => {
	const tokens = Math.min(settings.maxRetryTokens, getRetryTokens(state, settings, ticket) + change);
	state.retryTokens.set(ticket.budget ?? '', tokens);
};
