import type {AdmissionState} from './admission-state.js';
import type {Ticket} from './ticket.js';

/** A budget starts with one retry. */
const INITIAL_TOKENS = 1;

/** Retries that the budget of a request has left. */
export const getRetryTokens = (state: AdmissionState, ticket: Ticket): number => state.retryTokens.get(ticket.budget ?? '') ?? INITIAL_TOKENS;
