import {OUTCOME, RESULT_CODE, type ResultCodeValue} from '@valelead/common';
import {mutateRetryTokens} from './mutate-retry-tokens.js';
import {getRateLimitedWaitMs} from './get-rate-limited-wait-ms.js';
import {getRetryAfterMs} from './get-retry-after-ms.js';
import {getTeamUsage} from './get-team-usage.js';
import {getRequestWaitMs} from './get-request-wait-ms.js';
import {isBeyondPatience} from './is-beyond-patience.js';
import {getQueueWaitMs} from './get-queue-wait-ms.js';
import {mutateEnqueued} from './mutate-enqueued.js';
import {newRequestWait} from './new-request-wait.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {AdmissionRequest} from './admission-request.js';
import type {RequestLimits} from './request-limits.js';

const getRefusalCode = (state: AdmissionState, settings: AdmissionSettings, request: AdmissionRequest, limits: RequestLimits, now: number): ResultCodeValue | undefined => {
	const usage = getTeamUsage(state, request.team);
	if (usage.waiting >= limits.teamWaiting || usage.inProgress + usage.waiting >= limits.teamInProgress + limits.teamWaiting) {
		return RESULT_CODE.TeamLimit;
	}

	if ((state.classWaiting.get(request.className) ?? 0) >= limits.classWaiting) {
		return RESULT_CODE.QueueFull;
	}

	const isServed = (state.endpoints.get(request.target)?.length ?? 0) > 0;
	const queueWaitMs = settings.isOrderedByLatestStart ? getRequestWaitMs(state, request, now) : getQueueWaitMs(state, request.target);
	const waitMs = Math.max(queueWaitMs, getRateLimitedWaitMs(state, settings, request.target));
	const isTooLong = waitMs > request.deadlineAt - now || (settings.isOrderedByLatestStart === true && isBeyondPatience(state, request, waitMs, now));
	return isServed && isTooLong ? RESULT_CODE.WaitTooLong : undefined;
};

/** Queues a new request, or refuses it at once if a limit is reached or if its expected wait exceeds its deadline or its caller's patience. */
export const mutateArrival = (state: AdmissionState, settings: AdmissionSettings, request: AdmissionRequest, limits: RequestLimits, now: number): AdmissionEffect[] => {
	state.arrivals.set(request.target, (state.arrivals.get(request.target) ?? 0) + 1);
	const code = getRefusalCode(state, settings, request, limits, now);
	if (code !== undefined) {
		return [{
			kind: 'refuse',
			requestId: request.requestId,
			code,
			outcome: OUTCOME.NotRun,
			wait: code === RESULT_CODE.WaitTooLong ? newRequestWait(state, settings, {request, runs: 0, attempts: 0}, true, now) : undefined,
			retryAfterMs: Math.max(getRetryAfterMs(state, request.target), getRateLimitedWaitMs(state, settings, request.target)),
		}];
	}

	mutateRetryTokens(state, settings, request, settings.retryTokensPerRequest, now);
	const record = {
		request,
		limits,
		state: 'waiting',
		attempts: 0,
		unstartedAttempts: 0,
		attemptId: '',
		vm: '',
		reachedVms: new Set<string>(),
		pausedUntil: 0,
		runs: 0,
		isRetryCharged: false,
		isCounted: false,
		dispatchedAt: 0,
	};
	state.requests.set(request.requestId, record);
	mutateEnqueued(state, record);
	return [];
};
