import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {Ticket} from './ticket.js';

/** What a budget starts with where the settings do not say. */
const INITIAL_TOKENS = 1;

/** Retries that the budget of a request has left. */
export const getRetryTokens = (state: AdmissionState, settings: AdmissionSettings, ticket: Ticket): number =>
	state.retryTokens.get(ticket.budget ?? '') ?? settings.initialRetryTokens ?? INITIAL_TOKENS;
