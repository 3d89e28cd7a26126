import {
	OUTCOME, RESULT_CODE, type OutcomeValue, type ResultCodeValue,
} from '@valelead/common';
import {getRetryBudget} from './get-retry-budget.js';
import {mutateRetryTokens} from './mutate-retry-tokens.js';
import {getLane} from './get-lane.js';
import {mutateLaneAnswered} from './mutate-lane-answered.js';
import {mutateLaneFailure} from './mutate-lane-failure.js';
import {mutateRequestRefusal} from './mutate-request-refusal.js';
import {mutateRequestRelease} from './mutate-request-release.js';
import {mutateEnqueued} from './mutate-enqueued.js';
import {mutateRequestState} from './mutate-request-state.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

type Failure = {
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	readonly jitter: number;
	readonly isLast?: boolean;
	readonly target?: string;
};

type RetryEffect = Extract<AdmissionEffect, {kind: 'retry'}>;

/** Result codes that report a temporary state of the agent, such as draining. They do not count as failures of its upstream. */
const NOT_ACCEPTING_CODES: ReadonlySet<ResultCodeValue> = new Set([
	RESULT_CODE.CreditExpired,
	RESULT_CODE.UnitNotReady,
	RESULT_CODE.Draining,
	RESULT_CODE.UpstreamLeaving,
	RESULT_CODE.ConfigurationTooOld,
]);

/** Result codes of attempts that never became known to their upstream. Retries of them cost nothing. */
const UNSENT_CODES: ReadonlySet<ResultCodeValue> = new Set([RESULT_CODE.UpstreamUnreachable, RESULT_CODE.AttemptNotStarted]);

/** Result codes of attempts to which the upstream sent no response at all. */
const UNANSWERED_CODES: ReadonlySet<ResultCodeValue> = new Set([RESULT_CODE.UpstreamUnreachable, RESULT_CODE.UpstreamSilent]);

/** Returns the tokens that a retry costs: none if the request reached no upstream, or if it was refused and the settings do not charge refusals. */
const getRetryCost = (settings: AdmissionSettings, code: ResultCodeValue): number => {
	const isFree = UNSENT_CODES.has(code) || (NOT_ACCEPTING_CODES.has(code) && !settings.isRefusalCharged);
	return isFree ? 0 : 1;
};

/** Returns true if a request may be sent again, apart from its retry budget. */
const isRetryable = (settings: AdmissionSettings, record: RequestRecord, failure: Failure): boolean => {
	const isSafe = failure.outcome === OUTCOME.NotRun || record.request.isRepeatable;
	const runs = record.runs + (failure.outcome === OUTCOME.NotRun ? 0 : 1);
	const hasRuns = runs === 0 || runs < (record.request.maxRuns ?? Number.POSITIVE_INFINITY);
	const isOpen = record.state === 'sent' || record.request.isResumable === true;
	const hasAttempts = record.attempts < (record.request.maxAttempts ?? settings.maxAttempts);
	return failure.isLast !== true && isSafe && isOpen && hasRuns && hasAttempts;
};

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
		mutateLaneFailure(lane, settings, {jitter, isUnreachable: code === RESULT_CODE.UpstreamUnreachable}, now);
	}
};

/**
 * Handles an attempt that ended without a complete response. The request is queued again only if it did not run or may run again, if none of
 * the response has been passed on or the stream can be resumed, and if the retry budget allows it. Otherwise it is refused.
 */
export const mutateAttemptFailure = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, failure: Failure, now: number): AdmissionEffect[] => {
	// An attempt that this process could not begin says nothing about its upstream.
	if (failure.code !== RESULT_CODE.AttemptNotStarted) {
		mutateFailedLane(state, settings, record, failure, now);
	}

	const effects: AdmissionEffect[] = [];
	let isRetried = isRetryable(settings, record, failure) && now < record.request.deadlineAt;
	const cost = getRetryCost(settings, failure.code);
	if (isRetried && cost > 0) {
		const charge = mutateCharge(state, settings, record, cost, now);
		effects.push(charge);
		isRetried = charge.isAllowed;
	}

	if (failure.outcome !== OUTCOME.NotRun) {
		record.runs += 1;
	}

	if (!isRetried) {
		return [...effects, ...mutateRequestRefusal(state, record, failure.code, failure.outcome)];
	}

	mutateRequestRelease(state, record);
	mutateRequestState(record, 'requeue');
	record.request = {...record.request, target: failure.target ?? record.request.target};
	mutateEnqueued(state, record);
	return effects;
};
