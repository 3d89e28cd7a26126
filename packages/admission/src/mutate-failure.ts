import {
	OUTCOME, RESULT_CODE, type OutcomeValue, type ResultCodeValue,
} from '@valelead/common';
import {getRetryTokens} from './get-retry-tokens.js';
import {mutateRetryTokens} from './mutate-retry-tokens.js';
import {getLane} from './get-lane.js';
import {mutateRefused} from './mutate-refused.js';
import {mutateReleased} from './mutate-released.js';
import {mutateQueued} from './mutate-queued.js';
import {mutateRequest} from './mutate-request.js';
import type {AdmissionEffect} from './admission-effect.js';
import type {AdmissionLane} from './admission-lane.js';
import type {AdmissionSettings} from './admission-settings.js';
import type {AdmissionState} from './admission-state.js';
import type {RequestRecord} from './request-record.js';

type Failure = {
	readonly code: ResultCodeValue;
	readonly outcome: OutcomeValue;
	readonly jitter: number;
};

/** The spread of an ejection around its base, either way. */
const JITTER_SHARE = 0.2;

/** Codes that say something of the agent's present state, not of its health. */
const GATE_CODES: ReadonlySet<ResultCodeValue> = new Set([
	RESULT_CODE.CreditExpired,
	RESULT_CODE.UnitNotReady,
	RESULT_CODE.Draining,
	RESULT_CODE.UpstreamLeaving,
	RESULT_CODE.ConfigurationTooOld,
]);

/**
 * Leaves an upstream out after failures in a row, for a time that doubles with a bounded jitter
 * (the jitter of ±20% follows "Resilience: Circuit Breakers and Retry Backoff", ComputeFlux series, article 9).
 */
const mutateHealth = (lane: AdmissionLane, settings: AdmissionSettings, jitter: number, now: number): void => {
	lane.failures += 1;
	if (lane.failures < settings.ejectAfter && lane.ejections === 0) {
		return;
	}

	const baseMs = Math.min(settings.maxEjectMs, settings.ejectMs * (2 ** lane.ejections));
	lane.ejectedUntil = now + (baseMs * (1 - JITTER_SHARE + (2 * JITTER_SHARE * jitter)));
	lane.ejections += 1;
	lane.failures = 0;
};

const getRetryCost = (settings: AdmissionSettings, isGate: boolean): number => isGate && !settings.isRefusalBudgeted ? 0 : 1;

const canRetry = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, failure: Failure, isGate: boolean): boolean => {
	const isSafe = failure.outcome === OUTCOME.NotRun || record.ticket.isRepeatable;
	const runs = record.runs + (failure.outcome === OUTCOME.NotRun ? 0 : 1);
	const hasRuns = runs === 0 || runs < (record.ticket.maxRuns ?? Number.POSITIVE_INFINITY);
	const isOpen = record.state === 'sent' || record.ticket.isResumable === true;
	if (!isSafe || !isOpen || !hasRuns || record.attempts >= (record.ticket.maxAttempts ?? settings.maxAttempts)) {
		return false;
	}

	return getRetryCost(settings, isGate) <= getRetryTokens(state, record.ticket);
};

/**
 * Takes the end of an attempt that gave no answer. It is dispatched again only if it did not run or may
 * run twice, nothing of an answer was passed on, and the retry budget allows it.
 */
export const mutateFailure = (state: AdmissionState, settings: AdmissionSettings, record: RequestRecord, failure: Failure, now: number): AdmissionEffect[] => {
	const isGate = GATE_CODES.has(failure.code);
	const lane = getLane(state, record.vm);
	if (isGate) {
		lane.avoided.set(record.ticket.target, now + settings.avoidMs);
	} else {
		mutateHealth(lane, settings, failure.jitter, now);
	}

	const isRetried = canRetry(state, settings, record, failure, isGate) && now < record.ticket.deadlineAt;
	if (failure.outcome !== OUTCOME.NotRun) {
		record.runs += 1;
	}

	if (!isRetried) {
		return mutateRefused(state, record, failure.code, failure.outcome);
	}

	mutateRetryTokens(state, settings, record.ticket, -getRetryCost(settings, isGate));
	mutateReleased(state, record);
	mutateRequest(record, 'requeue');
	mutateQueued(state, record);
	return [];
};
