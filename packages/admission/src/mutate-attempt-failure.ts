import {
	OUTCOME, RESULT_CODE, type ResultCodeValue,
} from '@valelead/common';
import {getRetryBudget} from './get-retry-budget.js';
import {getRetryCost} from './get-retry-cost.js';
import {isRetryable} from './is-retryable.js';
import {NOT_ACCEPTING_CODES} from './not-accepting-codes.js';
import {mutateRetryTokens} from './mutate-retry-tokens.js';
import {getLane} from './get-lane.js';
import {mutateLaneAnswered} from './mutate-lane-answered.js';
import {mutateLaneFailure} from './mutate-lane-failure.js';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import {mutateRequestRelease} from './mutate-request-release.js';
import {UNSENT_CODES} from './unsent-codes.js';
import {mutateEnqueued} from './mutate-enqueued.js';
import {mutateRequestState} from './mutate-request-state.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {AttemptEnd} from './attempt-end.js';
import type {RequestRecord} from './request-record.js';

type Failure = AttemptEnd & {
	readonly jitter: number;
	readonly target?: string;
};

type RetryEffect = Extract<AdmissionEffect, {kind: 'retry'}>;

/**
 * Time after a failed attempt before the request is sent to an upstream that it has reached, in milliseconds. One that was full a moment ago would reject it
 * again; responses of plain services take about this time, so that a place is free after it.
 */
const PAUSE_MS = 100;

/** Result codes of attempts to which the upstream sent no response at all. */
const UNANSWERED_CODES: ReadonlySet<ResultCodeValue> = new Set([RESULT_CODE.UpstreamUnreachable, RESULT_CODE.UpstreamSilent]);

/** Charges a retry to the request's retry budget if the budget has enough tokens, and reports the result. */
const mutateCharge = (state: AdmissionState, settings: AdmissionSettings, {request}: RequestRecord, cost: number, now: number): RetryEffect => {
	const {tokens} = getRetryBudget(state, settings, request, now);
	const isAllowed = cost <= tokens;
	if (isAllowed) {
		mutateRetryTokens(state, settings, request, -cost, now);
	}

	return {
		kind: 'retry', requestId: request.requestId, isAllowed, left: isAllowed ? tokens - cost : tokens,
	};
};

/** Records what a failed attempt tells about its upstream. */
const mutateFailedLane = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, {code, jitter}: Failure, now: number): void => {
	const lane = getLane(state, record.vm);
	if (!UNANSWERED_CODES.has(code)) {
		mutateLaneAnswered(lane, now);
	}

	if (NOT_ACCEPTING_CODES.has(code)) {
		lane.avoided.set(record.request.target, now + settings.refusedTargetAvoidMs);
	} else {
		mutateLaneFailure(lane, settings, {
			jitter, isUnreachable: code === RESULT_CODE.UpstreamUnreachable, isRejected: code === RESULT_CODE.UpstreamRejected,
		}, now);
	}
};

/**
 * Handles an attempt that ended without a complete response. The request is queued again only if it did not run or may run again, if none of
 * the response has been passed on or the stream can be resumed, and if the retry budget allows it. Otherwise it is refused.
 */
export const mutateAttemptFailure = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, failure: Failure, now: number): AdmissionEffect[] => {
	if (failure.code === RESULT_CODE.AttemptNotStarted) {
		// It is not known whether the upstream or the request is the cause.
		getLane(state, record.vm).unstartedAt = now;
		record.unstartedAttempts += 1;
	} else {
		mutateFailedLane(state, settings, record, failure, now);
	}

	const effects: AdmissionEffect[] = [];
	if (!UNSENT_CODES.has(failure.code)) {
		record.reachedVms.add(record.vm);
	}

	let isRetried = isRetryable(settings, record, failure, now);
	const cost = getRetryCost(settings, failure.code);
	if (cost > 0) {
		// The charge of an attempt that reached its upstream is used up.
		record.isRetryCharged = false;
	}

	if (isRetried && cost > 0) {
		const charge = mutateCharge(state, settings, record, cost, now);
		effects.push(charge);
		isRetried = charge.isAllowed;
		record.isRetryCharged = charge.isAllowed;
	}

	if (failure.outcome !== OUTCOME.NotRun) {
		record.runs += 1;
	}

	if (!isRetried) {
		return [...effects, ...mutateRequestRefusal(state, record, failure.code, failure.outcome)];
	}

	mutateRequestRelease(state, record);
	record.pausedUntil = now + PAUSE_MS;
	mutateRequestState(record, 'requeue');
	record.request = {...record.request, target: failure.target ?? record.request.target};
	mutateEnqueued(state, record);
	return effects;
};
