import {OUTCOME, RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import {mutateRetryTokens} from './mutate-retry-tokens.js';
import {getRateLimitedWaitMs} from './get-rate-limited-wait-ms.js';
import {getRetryAfterMs} from './get-retry-after-ms.js';
import {getTeamUsage} from './get-team-usage.js';
import {getQueueWaitMs} from './get-queue-wait-ms.js';
import {mutateEnqueued} from './mutate-enqueued.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {Ticket} from './ticket.js';
import type {TicketLimits} from './ticket-limits.js';

const getRefusalCode = (state: AdmissionState, settings: AdmissionSettings, ticket: Ticket, limits: TicketLimits, now: number): ResultCodeValue | undefined => {
	const usage = getTeamUsage(state, ticket.team);
	if (usage.waiting >= limits.teamWaiting || usage.inProgress + usage.waiting >= limits.teamInProgress + limits.teamWaiting) {
		return RESULT_CODE.TeamLimit;
	}

	if ((state.classWaiting.get(ticket.className) ?? 0) >= limits.classWaiting) {
		return RESULT_CODE.QueueFull;
	}

	const isServed = (state.endpoints.get(ticket.target)?.length ?? 0) > 0;
	const waitMs = Math.max(getQueueWaitMs(state, ticket.target), getRateLimitedWaitMs(state, settings, ticket.target));
	return isServed && waitMs > ticket.deadlineAt - now ? RESULT_CODE.WaitTooLong : undefined;
};

/** Queues a request, or refuses it at once if a limit is reached or its wait cannot be met. */
export const mutateArrival = (state: AdmissionState, settings: AdmissionSettings, ticket: Ticket, limits: TicketLimits, now: number): AdmissionEffect[] => {
	state.arrivals.set(ticket.target, (state.arrivals.get(ticket.target) ?? 0) + 1);
	const code = getRefusalCode(state, settings, ticket, limits, now);
	if (code !== undefined) {
		return [{
			kind: 'refuse', requestId: ticket.requestId, code, outcome: OUTCOME.NotRun, retryAfterMs: Math.max(getRetryAfterMs(state, ticket.target), getRateLimitedWaitMs(state, settings, ticket.target)),
		}];
	}

	mutateRetryTokens(state, settings, ticket, settings.retryShare, now);
	const record = {
		ticket, limits, state: 'waiting', attempts: 0, attemptId: '', vm: '', runs: 0, dispatchedAt: 0,
	};
	state.requests.set(ticket.requestId, record);
	mutateEnqueued(state, record);
	return [];
};
