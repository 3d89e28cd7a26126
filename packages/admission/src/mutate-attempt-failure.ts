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
};

type RetryEffect = Extract<AdmissionEffect, {kind: 'retry'}>;

/** Codes that say something of the agent's present state, not of its health. */
const NOT_ACCEPTING_CODES: ReadonlySet<ResultCodeValue> = new Set([
	RESULT_CODE.CreditExpired,
	RESULT_CODE.UnitNotReady,
	RESULT_CODE.Draining,
	RESULT_CODE.UpstreamLeaving,
	RESULT_CODE.ConfigurationTooOld,
]);

/** Codes of attempts that got no answer at all. */
const UNANSWERED_CODES: ReadonlySet<ResultCodeValue> = new Set([RESULT_CODE.UpstreamUnreachable, RESULT_CODE.UpstreamSilent]);

/** A request that reached no upstream costs nothing; one that was refused costs where the settings say so. */
const getRetryCost = (settings: AdmissionSettings, code: ResultCodeValue): number => {
	const isFree = code === RESULT_CODE.UpstreamUnreachable || (NOT_ACCEPTING_CODES.has(code) && !settings.isRefusalBudgeted);
	return isFree ? 0 : 1;
};

/** Whether a request may be sent again, the retry budget apart. */
const isRetryable = (settings: AdmissionSettings, record: RequestRecord, failure: Failure): boolean => {
	const isSafe = failure.outcome === OUTCOME.NotRun || record.request.isRepeatable;
	const runs = record.runs + (failure.outcome === OUTCOME.NotRun ? 0 : 1);
	const hasRuns = runs === 0 || runs < (record.request.maxRuns ?? Number.POSITIVE_INFINITY);
	const isOpen = record.state === 'sent' || record.request.isResumable === true;
	const hasAttempts = record.attempts < (record.request.maxAttempts ?? settings.maxAttempts);
	return failure.isLast !== true && isSafe && isOpen && hasRuns && hasAttempts;
};

/** Charges one more dispatch of a request to its retry budget, if that has enough. */
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

/**
 * Takes the end of an attempt that gave no answer. It is dispatched again only if it did not run or may
 * run twice, nothing of an answer was passed on, and the retry budget allows it.
 */
export const mutateAttemptFailure = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, failure: Failure, now: number): AdmissionEffect[] => {
	const isNotAccepting = NOT_ACCEPTING_CODES.has(failure.code);
	const lane = getLane(state, record.vm);
	if (!UNANSWERED_CODES.has(failure.code)) {
		mutateLaneAnswered(lane, now);
	}

	if (isNotAccepting) {
		lane.avoided.set(record.request.target, now + settings.avoidMs);
	} else {
		mutateLaneFailure(lane, settings, {jitter: failure.jitter, isUnreachable: failure.code === RESULT_CODE.UpstreamUnreachable}, now);
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
	mutateEnqueued(state, record);
	return effects;
};
